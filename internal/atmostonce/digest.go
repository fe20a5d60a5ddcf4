package atmostonce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the content of a request: SHA-256 in hexadecimal.
type Digest string

// DigestOf returns the digest of method, route and body. It hashes the length
// of each part before the part, so that moving a boundary between parts changes
// the digest.
func DigestOf(method, route string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(route), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}
