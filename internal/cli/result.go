package cli

import (
	"io"
)

// result is the output of a command, printed as JSON or as text.
type result interface {
	writeText(w io.Writer)
}

// exitCoder is a result that determines the exit code of its command.
type exitCoder interface {
	exitCode() ExitCode
}
