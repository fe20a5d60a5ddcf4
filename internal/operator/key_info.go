package operator

// KeyInfo describes a key without its secret.
type KeyInfo struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// SHA256 is the digest of the secret in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	Note   string `json:"note,omitempty"`
}
