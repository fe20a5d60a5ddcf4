package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (c *Commands) writeResult(r result) error {
	if c.flags.output == outputJSON {
		return writeJSON(c.options.Stdout, r)
	}
	table := tabwriter.NewWriter(c.options.Stdout, 0, 4, 2, ' ', 0)
	r.writeText(table)
	return table.Flush()
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func (c *Commands) writeError(err error) {
	f := failure{Body: errkind.NewBody(errkind.From(err), "")}
	f.Error.Message = err.Error()
	errors.As(err, &f.Problems)
	errors.As(err, &f.Conflict)
	if c.flags.output == outputJSON {
		_ = writeJSON(c.options.Stderr, f)
		return
	}
	f.writeText(c.options.Stderr)
}

func writeConflict(w io.Writer, c *operator.Conflict) {
	if !c.Complete {
		fmt.Fprintf(w, "Not all changes since version %d are available; read the whole document with `config show`.\n", c.Base)
	}
	if len(c.Difference) > 0 {
		fmt.Fprintf(w, "Changed from version %d to version %d:\n", c.Base, c.Version)
		writeChanges(w, c.Difference)
	}
	for _, entry := range c.Overlap {
		fmt.Fprintf(w, "Your change also sets %s.\n", entry)
	}
}

func writeChanges(w io.Writer, changes []record.EntryChange) {
	for _, change := range changes {
		if len(change.Value) == 0 {
			fmt.Fprintf(w, "  delete %s/%s\n", change.Section, change.ID)
			continue
		}
		fmt.Fprintf(w, "  put    %s/%s %s\n", change.Section, change.ID, change.Value)
	}
}

func (c *Commands) writeUsage(app *kingpin.Application, err error) {
	fmt.Fprintf(c.options.Stderr, "error: %v\nRun `%s help` or `%s help COMMAND` for help.\n", err, app.Name, app.Name)
}
