package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

// Errors returns the problems of a document as findings.
func Errors(problems config.Problems) []Finding {
	out := make([]Finding, len(problems))
	for i, p := range problems {
		out[i] = Finding{Code: Code(p.Rule), Severity: SeverityError, Path: p.Path, Value: p.Value, Message: p.Reason}
	}
	Sort(out)
	return out
}
