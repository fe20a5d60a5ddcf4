package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/operator"
)

type keyList struct {
	Keys []operator.KeyInfo `json:"keys"`
}

func (r keyList) writeText(w io.Writer) {
	fmt.Fprintln(w, "KEY\tTEAM\tNOTE")
	for _, k := range r.Keys {
		fmt.Fprintf(w, "%s\t%s\t%s\n", k.ID, k.Team, k.Note)
	}
}
