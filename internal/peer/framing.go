package peer

import (
	"bytes"
	"math"
	"strconv"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// singleHeaders may be sent once. Of two, hertz and other servers use different ones.
var singleHeaders = [...][]byte{[]byte("Host"), []byte("Authorization"), []byte("X-Api-Key"), []byte("Idempotency-Key")}

var (
	contentLengthName    = []byte("Content-Length")
	transferEncodingName = []byte("Transfer-Encoding")
	chunkedCoding        = []byte("chunked")
	http10               = []byte("HTTP/1.0")
)

// headOf returns the head that p begins with, or nil if its end is missing. The end is an empty line
// after another line.
func headOf(p []byte) []byte {
	for from := 0; ; {
		i := bytes.IndexByte(p[from:], '\n')
		if i < 0 {
			return nil
		}
		from += i + 1
		rest := p[from:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return p[:from+1]
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return p[:from+2]
		}
	}
}

// checkHead returns why a request with the given head is refused, or nil: the length of its body is
// ambiguous (RFC 9112, 6.1 and 6.3) or above maxBody, or a header that may be sent once was sent twice.
// Hertz would take the last of several lengths, and any coding for chunked.
func checkHead(head []byte, maxBody int) *refusal {
	var seen [len(singleHeaders)]bool
	var length []byte
	encoded := false
	requestLine, rest, _ := bytes.Cut(head, []byte{'\n'})
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		if len(line) == 0 {
			continue
		}
		switch line[0] | 0x20 {
		case ' ', '\t' | 0x20:
			return framingRefusal("a header continues on a second line")
		case 'c':
			if value, ok := headerValue(line, contentLengthName); ok {
				if length != nil && !bytes.Equal(length, value) {
					return framingRefusal("two different Content-Length headers")
				}
				length = value
			}
		case 't':
			if value, ok := headerValue(line, transferEncodingName); ok {
				if encoded || !bytes.EqualFold(value, chunkedCoding) {
					return framingRefusal("a Transfer-Encoding other than chunked")
				}
				encoded = true
			}
		case 'h', 'a', 'x', 'i':
			for i, name := range singleHeaders {
				if _, ok := headerValue(line, name); ok {
					if seen[i] {
						return newRefusal(clientbudget.DuplicateHeader, errkind.InvalidRequest, "two "+string(name)+" headers")
					}
					seen[i] = true
				}
			}
		}
	}
	if encoded && length != nil {
		return framingRefusal("Content-Length and Transfer-Encoding together")
	}
	if encoded && bytes.HasSuffix(bytes.TrimSpace(requestLine), http10) {
		return framingRefusal("Transfer-Encoding in a request of HTTP/1.0")
	}
	if n, err := strconv.ParseUint(string(length), 10, 64); err == nil && n > uint64(min(maxBody, math.MaxInt)) {
		return bodyTooLong()
	}
	return nil
}

func framingRefusal(message string) *refusal {
	return newRefusal(clientbudget.Framing, errkind.InvalidRequest, message)
}

func bodyTooLong() *refusal {
	return newRefusal(clientbudget.BodyTooLong, errkind.BodyTooLarge, "the body exceeds the size limit")
}

// headerValue returns the value of a header line if it has the given name.
func headerValue(line, name []byte) ([]byte, bool) {
	if len(line) <= len(name) || line[len(name)] != ':' || !bytes.EqualFold(line[:len(name)], name) {
		return nil, false
	}
	return bytes.TrimSpace(line[len(name)+1:]), true
}
