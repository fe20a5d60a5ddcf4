package entry

import "strings"

// maxExcerptBytes bounds a caller's text in an error message. A name can be as
// long as the body, and every message is logged.
const maxExcerptBytes = 80

// excerpt returns the start of text for an error message, as valid UTF-8.
func excerpt(text string) string {
	if len(text) > maxExcerptBytes {
		text = text[:maxExcerptBytes] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}
