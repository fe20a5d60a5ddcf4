// Command jacinthbend runs an entry instance, and has the commands for operators.
package main

// The platform requires programs that are linked to the C library. It may send SIGHUP, which tells
// that the settings have changed, from the moment on at which the program is executed. Its default
// action would end the process until the Go runtime handles signals. Ignored signals can still be
// received with package os/signal.

/*
#include <signal.h>
#include <string.h>

static void __attribute__((constructor)) ignore_early_sighup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"

import (
	"os"

	"github.com/jacinthbend/jacinthbend/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
