package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/pkg/errors"
)

const fileHelp = `File with the whole configuration document as JSON; "-" reads standard input.`

func (c *Commands) registerConfig(app *kingpin.Application) {
	group := app.Command("config", "Check, show, compare and publish the configuration document. "+
		"To make a change: `config show > c.json`, edit c.json, `config check c.json`, then `config publish c.json --base N`, "+
		"where N is the version that show printed.")
	c.flags.addOutput(group)
	c.registerValidate(group)
	c.registerShow(group)
	c.registerDiff(group)
	c.registerCheck(group)
	c.registerPublish(group)
	c.registerHistory(group)
}

func (c *Commands) registerValidate(group *kingpin.CmdClause) {
	cmd := group.Command("validate", "Check a document and list every error with its JSON path. Does not contact the platform.")
	file := cmd.Arg("file", fileHelp).Required().String()
	c.add(cmd, func(context.Context) (result, error) {
		doc, err := c.readDocument(*file)
		return validateResult{Valid: err == nil, Entries: countEntries(doc)}, err
	})
}

func (c *Commands) registerShow(group *kingpin.CmdClause) {
	cmd := group.Command("show", "Print the current document. With --output text the document goes to standard output and its version to standard error.")
	c.flags.addLog(cmd)
	defaults := cmd.Flag("defaults", "Set absent fields to their defaults.").Bool()
	c.add(cmd, func(ctx context.Context) (result, error) {
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		view := s.client.View()
		doc := view.Document()
		if *defaults {
			doc = doc.WithDefaults()
		}
		return showResult{Version: view.ConfigVersion, Document: doc, notes: c.options.Stderr}, nil
	})
}

func (c *Commands) registerDiff(group *kingpin.CmdClause) {
	cmd := group.Command("diff", "Check a document and show what publishing it would change.")
	c.flags.addLog(cmd)
	file := cmd.Arg("file", fileHelp).Required().String()
	c.add(cmd, func(ctx context.Context) (result, error) {
		doc, err := c.readDocument(*file)
		if err != nil {
			return nil, err
		}
		s, err := c.open(ctx)
		if err != nil {
			return nil, err
		}
		view := s.client.View()
		return diffResult{Base: view.ConfigVersion, Changes: config.Diff(view.Document(), doc)}, nil
	})
}

func (c *Commands) registerPublish(group *kingpin.CmdClause) {
	cmd := group.Command("publish", "Publish a whole document. It takes effect only if the current version is still --base, so that it cannot silently undo the change of someone else.")
	c.flags.addLog(cmd)
	c.flags.addAuthor(cmd)
	file := cmd.Arg("file", fileHelp).Required().String()
	base := cmd.Flag("base", "Version from which the document was edited, as printed by `config show`; 0 for the first.").Required().Uint64()
	c.add(cmd, func(ctx context.Context) (result, error) {
		doc, err := c.readDocument(*file)
		if err != nil {
			return nil, err
		}
		s, err := c.openWithBase(ctx, backing.Offset(*base))
		if err != nil {
			return nil, err
		}
		// Diff against the version from which the document was edited, because
		// this gives only the author's own changes.
		from, ok := s.client.RetainedView()
		if !ok {
			from = s.client.View()
		}
		changes := config.Diff(from.Document(), doc)
		if len(changes) == 0 {
			// An unedited document of an old version contains no changes by its
			// author, but others may have changed the current document since. This
			// must be reported as a conflict, not as a success.
			changes = config.Diff(s.client.View().Document(), doc)
		}
		got, err := s.publisher.Publish(ctx, backing.Offset(*base), changes, c.flags.reason, c.flags.author)
		return publishResult{got}, err
	})
}

func (c *Commands) registerHistory(group *kingpin.CmdClause) {
	cmd := group.Command("history", "List the published versions, newest first. `audit` also lists rejected changes, and shows what each change contains.")
	c.flags.addLog(cmd)
	limit := cmd.Flag("limit", "Maximum number of versions to list.").Default("20").Int()
	c.add(cmd, func(ctx context.Context) (result, error) {
		return c.listAudit(ctx, func(e audit.Entry) bool { return e.Applied }, *limit, false)
	})
}

// readDocument reads and validates a document.
func (c *Commands) readDocument(name string) (config.Document, error) {
	data, err := c.readFile(name)
	if err != nil {
		return config.Document{}, errors.Wrap(err, "read the document")
	}
	doc, err := config.Parse(data)
	if err != nil {
		return doc, errkind.Wrap(errkind.ConfigInvalid, name, err)
	}
	return doc, nil
}

func (c *Commands) readFile(name string) ([]byte, error) {
	// kingpin passes a lone "-" as an empty argument.
	if name == "-" || name == "" {
		return io.ReadAll(c.options.Stdin)
	}
	return os.ReadFile(name)
}

func countEntries(doc config.Document) map[string]int {
	out := make(map[string]int)
	for _, section := range config.Sections() {
		out[string(section)] = len(config.EntryIDs(doc, section))
	}
	return out
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
