#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/second"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-second .
