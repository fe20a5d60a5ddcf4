package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashSecret returns the digest under which a key's secret is stored: SHA-256 in
// lower-case hexadecimal. A secret has 256 random bits, so an unsalted digest
// cannot be reversed by a brute-force or dictionary attack.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
