package config

import (
	"fmt"
	"unicode/utf8"
)

// maxValueBytes limits the length of the value in a Problem, so that a large
// document in the wrong place does not flood the terminal.
const maxValueBytes = 120

// Problem is one error in a document.
type Problem struct {
	// Rule is the kind of rule that the value breaks. The output of `config validate`
	// does not contain it.
	Rule Rule `json:"-"`
	// Path is the location of the error in the document.
	Path Path `json:"path"`
	// Value is the offending value as JSON or text, shortened to 120 bytes.
	Value string `json:"value,omitempty"`
	// Reason says which rule the value breaks.
	Reason string `json:"reason"`
}

// Error implements error.
func (p Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Reason)
	}
	return fmt.Sprintf("%s = %s: %s", p.Path, p.Value, p.Reason)
}

// formatValue returns the text of a value, shortened to maxValueBytes at a rune
// boundary.
func formatValue(value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) <= maxValueBytes {
		return text
	}
	cut := maxValueBytes
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "..."
}
