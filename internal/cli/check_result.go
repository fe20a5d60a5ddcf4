package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/configcheck"
)

// checkResult is the output of `config check`, also described in
// docs/configuration.md.
type checkResult struct {
	File string `json:"file"`
	// Base is the version with which the document was compared, or nil.
	Base *backing.Offset `json:"base,omitempty"`
	// Counts has the number of findings by severity, including zeros.
	Counts   map[configcheck.Severity]int `json:"counts"`
	Findings []configcheck.Finding        `json:"findings"`
	// failOn has the severities that make the command fail.
	failOn []string
}

func (r checkResult) with(parts ...[]configcheck.Finding) checkResult {
	r.Findings = append(r.Findings, slices.Concat(parts...)...)
	configcheck.Sort(r.Findings)
	r.Counts = make(map[configcheck.Severity]int)
	for _, s := range configcheck.Severities() {
		r.Counts[s] = configcheck.Count(r.Findings, s)
	}
	return r
}

func (r checkResult) exitCode() ExitCode {
	if r.Counts[configcheck.SeverityError] > 0 {
		return ExitInvalid
	}
	for _, severity := range r.failOn {
		if r.Counts[configcheck.Severity(severity)] > 0 {
			return ExitFindings
		}
	}
	return ExitOK
}

func (r checkResult) writeText(w io.Writer) {
	for _, f := range r.Findings {
		place := string(f.Path)
		if f.Value != "" {
			place += " = " + f.Value
		}
		fmt.Fprintf(w, "%s: %s: %s [%s]\n", f.Severity, place, f.Message, f.Code)
	}
	counts := make([]string, 0, len(r.Counts))
	for _, s := range configcheck.Severities() {
		if n := r.Counts[s]; n > 0 {
			counts = append(counts, plural(n, string(s)))
		}
	}
	if len(counts) == 0 {
		counts = []string{"no findings"}
	}
	compared := "not compared with a version"
	if r.Base != nil {
		compared = fmt.Sprintf("compared with version %d", *r.Base)
	}
	fmt.Fprintf(w, "%s: %s (%s)\n", r.File, strings.Join(counts, ", "), compared)
}
