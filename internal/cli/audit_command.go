package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

func (c *Commands) registerAudit(app *kingpin.Application) {
	cmd := app.Command("audit", "List every attempt to change the configuration, newest first, with its author, time, base version, changes and result.")
	c.flags.addOutput(cmd)
	c.flags.addLog(cmd)
	limit := cmd.Flag("limit", "Maximum number of changes to list.").Default("20").Int()
	author := cmd.Flag("author", "List only the changes of this author.").String()
	c.add(cmd, func(ctx context.Context) (result, error) {
		return c.listAudit(ctx, func(e audit.Entry) bool { return *author == "" || e.Author == *author }, *limit, true)
	})
}

// listAudit lists the entries of the audit trail for which keep returns true,
// newest first. A limit of 0 lists all of them.
func (c *Commands) listAudit(ctx context.Context, keep func(audit.Entry) bool, limit int, detailed bool) (result, error) {
	s, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	entries, err := audit.Read(ctx, s.log, s.client.View().ConfigVersion)
	if err != nil {
		return nil, errkind.Wrap(errkind.LogUnavailable, "read the audit trail", err)
	}
	entries = slices.DeleteFunc(entries, func(e audit.Entry) bool { return !keep(e) })
	slices.Reverse(entries)
	if limit > 0 && len(entries) > limit {
		entries = entries[:limit]
	}
	return auditResult{Entries: entries, detailed: detailed}, nil
}

func writeAuditEntry(w io.Writer, e audit.Entry) {
	outcome := "applied"
	if !e.Applied {
		outcome = "void: " + e.Void
	}
	fmt.Fprintf(w, "%d  %s  %s via %s, base %d, %s\n", e.Offset, e.Time().Format(time.RFC3339), e.Author, e.Via, e.Base, outcome)
	if e.Reason != "" {
		fmt.Fprintf(w, "  reason: %s\n", e.Reason)
	}
	writeChanges(w, e.Changes)
}
