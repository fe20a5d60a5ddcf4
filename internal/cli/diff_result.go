package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

type diffResult struct {
	Base    backing.Offset       `json:"base"`
	Changes []record.EntryChange `json:"changes"`
}

func (r diffResult) writeText(w io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintf(w, "The document equals version %d.\n", r.Base)
		return
	}
	fmt.Fprintf(w, "%s to version %d:\n", plural(len(r.Changes), "change"), r.Base)
	writeChanges(w, r.Changes)
}
