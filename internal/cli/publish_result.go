package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/operator"
)

type publishResult struct{ operator.Publication }

func (r publishResult) writeText(w io.Writer) {
	if r.Unchanged {
		fmt.Fprintf(w, "Nothing to change: version %d has these changes already.\n", r.Version)
		return
	}
	fmt.Fprintf(w, "Published version %d with %s.\n", r.Version, plural(len(r.Changes), "change"))
}
