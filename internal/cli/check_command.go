package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/configcheck"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// checkFlags holds the values of the flags of `config check`.
type checkFlags struct {
	file       string
	against    uint64
	hasAgainst bool
	offline    bool
	json       bool
	failOn     []string
}

func (c *Commands) registerCheck(group *kingpin.CmdClause) {
	cmd := group.Command("check", "Check a document before it is published: its errors, entries that no request can reach, limits that contradict each other, "+
		"and what publishing it would change, with the risky changes marked. Exits with 3 if the document has errors.")
	var f checkFlags
	cmd.Arg("file", fileHelp).Required().StringVar(&f.file)
	c.flags.addOptionalLog(cmd)
	cmd.Flag("against", "Version to compare with, as listed by `config history`; 0 for an empty document. Default: the current version.").
		IsSetByUser(&f.hasAgainst).Uint64Var(&f.against)
	cmd.Flag("offline", "Check the document alone, without contacting the platform.").BoolVar(&f.offline)
	cmd.Flag("json", "The same as --output json.").BoolVar(&f.json)
	cmd.Flag("fail-on", "Severity that makes the command exit with 7 if the document has no errors: warning or risk. Can be repeated.").
		EnumsVar(&f.failOn, string(configcheck.SeverityWarning), string(configcheck.SeverityRisk))
	c.add(cmd, func(ctx context.Context) (result, error) { return c.check(ctx, f) })
}

// check returns the findings of a document. It does not contact the platform if the
// document has errors, because they prevent a publication to any version.
func (c *Commands) check(ctx context.Context, f checkFlags) (result, error) {
	if f.json {
		c.flags.output = outputJSON
	}
	if f.offline && f.hasAgainst {
		return nil, errkind.New(errkind.InvalidRequest, "--against and --offline exclude each other")
	}
	if !f.offline && c.flags.logURL == "" {
		return nil, errkind.New(errkind.InvalidRequest, "--log-url or "+EnvLogURL+" is required; --offline checks the document alone")
	}
	r := checkResult{File: cmp.Or(f.file, "-"), Findings: []configcheck.Finding{}, failOn: f.failOn}
	doc, err := c.readDocument(f.file)
	if problems := config.Problems(nil); errors.As(err, &problems) {
		return r.with(configcheck.Errors(problems)), nil
	}
	if err != nil {
		return nil, err
	}
	if f.offline {
		return r.with(configcheck.Warnings(doc, nil)), nil
	}
	s, err := c.openWithBase(ctx, backing.Offset(f.against))
	if err != nil {
		return nil, err
	}
	view := s.client.View()
	base := view
	if f.hasAgainst {
		if base, err = retainedVersion(s, backing.Offset(f.against)); err != nil {
			return nil, err
		}
	}
	r.Base = &base.ConfigVersion
	return r.with(configcheck.Warnings(doc, liveInstances(view)), configcheck.Changes(base.Document(), doc)), nil
}

// retainedVersion returns the view of a version with which s was opened.
func retainedVersion(s *session, version backing.Offset) (*controlstate.View, error) {
	if view, ok := s.client.RetainedView(); ok {
		return view, nil
	}
	current := s.client.View().ConfigVersion
	if version > current {
		return nil, errkind.New(errkind.InvalidRequest, fmt.Sprintf("there is no version %d; the current version is %d", version, current))
	}
	return nil, errkind.New(errkind.InvalidRequest,
		fmt.Sprintf("version %d cannot be read: it is not a version of the configuration, or it is older than the snapshot in the log; `config history` lists the versions", version))
}

func liveInstances(view *controlstate.View) []configcheck.Instance {
	var out []configcheck.Instance
	for _, m := range view.Members.All() {
		out = append(out, configcheck.Instance{DataCentre: m.DataCentre, Pool: m.Pool})
	}
	return out
}
