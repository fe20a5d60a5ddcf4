package settings

// minTokenBytes is the minimum length of the operator token, so that it cannot be
// guessed.
const minTokenBytes = 24

// Entry holds the settings of an entry instance.
type Entry struct {
	Common
	// CallerAddr is where callers reach this instance, IP:port.
	CallerAddr string `json:"caller_addr"`
	// OperatorToken is the token with which operators sign in to the console. Empty
	// disables the console.
	OperatorToken string `json:"operator_token,omitempty"`
}

// LoadEntry reads the file at path, applies override and validates the result.
func LoadEntry(path string, override func(*Entry)) (Entry, error) {
	var s Entry
	err := load(path, &s, override)
	return s, err
}

// Validate returns all problems of s as Problems, or nil.
func (s *Entry) Validate() error {
	c := &validator{}
	s.check(c)
	c.address("caller_addr", s.CallerAddr)
	if s.OperatorToken != "" && len(s.OperatorToken) < minTokenBytes {
		// The message must not contain the value, which is a secret.
		c.add("operator_token", "(hidden)", "must have at least 24 bytes")
	}
	return c.problems.asError()
}
