package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/audit"
)

type auditResult struct {
	Entries  []audit.Entry `json:"entries"`
	detailed bool
}

func (r auditResult) writeText(w io.Writer) {
	if !r.detailed {
		fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tCHANGES\tREASON")
	}
	for _, e := range r.Entries {
		if r.detailed {
			writeAuditEntry(w, e)
			continue
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", e.Offset, e.Time().Format(time.RFC3339), e.Author, len(e.Changes), e.Reason)
	}
}
