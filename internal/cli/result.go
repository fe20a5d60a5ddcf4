package cli

import (
	"io"
)

// result is the output of a command, printed as JSON or as text.
type result interface {
	writeText(w io.Writer)
}
