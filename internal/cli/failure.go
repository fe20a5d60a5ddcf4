package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/operator"
)

// failure is the output of a command that failed.
type failure struct {
	errkind.Body
	Problems config.Problems    `json:"problems,omitempty"`
	Conflict *operator.Conflict `json:"conflict,omitempty"`
}

func (f failure) writeText(w io.Writer) {
	switch {
	case len(f.Problems) > 0:
		fmt.Fprintf(w, "error: the configuration has %d errors:\n", len(f.Problems))
		for _, p := range f.Problems {
			fmt.Fprintf(w, "  %s\n", p.Error())
		}
	case f.Conflict != nil:
		fmt.Fprintf(w, "error: %s\n", f.Conflict.Error())
		writeConflict(w, f.Conflict)
	default:
		fmt.Fprintf(w, "error: %s\n", f.Error.Message)
	}
	// Omit the advice for internal errors: it is meant for callers, not operators.
	if f.Error.Kind != errkind.Internal {
		fmt.Fprintln(w, f.Error.Advice)
	}
}
