// Command jacinthbend-agent runs the agent beside one upstream.
package main

import "C" // The platform requires programs that are linked to the C library.

import (
	"os"

	"github.com/jacinthbend/jacinthbend/internal/command"
)

func main() {
	os.Exit(command.AgentMain(os.Args[1:], os.Stderr))
}
