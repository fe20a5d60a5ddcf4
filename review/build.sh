#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/review/harness ./harness
