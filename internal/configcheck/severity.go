package configcheck

import "slices"

// Severity says what a finding means for a publication.
type Severity string

// Severities, the most severe first.
const (
	// SeverityError prevents the publication.
	SeverityError Severity = "error"
	// SeverityRisk is a change that can make requests fail that succeed now, or that
	// accepts requests that are refused now.
	SeverityRisk Severity = "risk"
	// SeverityWarning is an entry or a limit that does not do what it says.
	SeverityWarning Severity = "warning"
	// SeverityChange is a change without such a risk.
	SeverityChange Severity = "change"
)

// Severities returns all severities, the most severe first.
func Severities() []Severity {
	return []Severity{SeverityError, SeverityRisk, SeverityWarning, SeverityChange}
}

func (s Severity) rank() int { return slices.Index(Severities(), s) }
