package operator

// IssuedKey is a new key. Only its digest is stored, so the caller must show
// Secret to the operator; it cannot be read again.
type IssuedKey struct {
	Publication
	ID     string `json:"id"`
	Team   string `json:"team"`
	Secret string `json:"secret"`
}
