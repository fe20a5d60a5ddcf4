// Command jacinthbend runs an entry instance, and has the commands for operators.
package main

import "C" // The platform requires programs that are linked to the C library.

import (
	"os"

	"github.com/jacinthbend/jacinthbend/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
