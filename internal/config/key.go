package config

// Key is an API key of a team. Its secret is shown once, when the key is issued,
// and never stored.
type Key struct {
	// Team is the id of the owning team.
	Team string `json:"team"`
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the secret.
	SHA256 string `json:"sha256"`
	// Note is a comment for operators, at most 200 bytes.
	Note string `json:"note,omitempty"`
}
