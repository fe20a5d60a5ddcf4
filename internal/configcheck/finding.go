package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Finding is one result of a check.
type Finding struct {
	// Code is the kind of finding. Programs may depend on it.
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// Path is the location in the document. An entry that the document deletes has
	// its former path.
	Path config.Path `json:"path"`
	// Value is the offending value of an error, shortened to 120 bytes.
	Value string `json:"value,omitempty"`
	// Message says what is wrong or different, and what to do.
	Message string `json:"message"`
}

// findings collects the results of one check.
type findings []Finding

func (fs *findings) warn(code Code, path config.Path, format string, args ...any) {
	*fs = append(*fs, Finding{Code: code, Severity: SeverityWarning, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (fs *findings) risk(code Code, path config.Path, format string, args ...any) {
	*fs = append(*fs, Finding{Code: code, Severity: SeverityRisk, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (fs *findings) change(code Code, path config.Path, format string, args ...any) {
	*fs = append(*fs, Finding{Code: code, Severity: SeverityChange, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Sort sorts findings in place: the most severe first, then by path and code.
func Sort(fs []Finding) {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(a.Severity.rank()-b.Severity.rank(), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Code, b.Code))
	})
}

// Count returns the number of findings of a severity.
func Count(fs []Finding, severity Severity) int {
	n := 0
	for _, f := range fs {
		if f.Severity == severity {
			n++
		}
	}
	return n
}
