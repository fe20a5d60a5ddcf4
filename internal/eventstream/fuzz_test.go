package eventstream

import (
	"bytes"
	"testing"
)

// FuzzAdd guards against bytes of a stream that are lost, repeated or moved, and against results
// that depend on how the stream is cut into parts.
func FuzzAdd(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3)
	f.Add([]byte("data: a\r\n\r\n\r\n\n\nid:9\n\n"), 1)
	f.Add([]byte("id: 1\n\nid: 1\n\n"), 64)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = min(max(size, 1), 1024)
		split := func(size int) (out []byte, s Splitter, failed bool) {
			for rest := stream; len(rest) > 0 && !failed; {
				part := rest[:min(size, len(rest))]
				rest = rest[len(part):]
				events, err := s.Add(part)
				out = append(out, events...)
				failed = err != nil
			}
			return out, s, failed
		}
		whole, a, failedWhole := split(max(1, len(stream)))
		parts, b, failedParts := split(size)
		if !bytes.HasPrefix(stream, parts) {
			t.Fatalf("%q is not the beginning of %q", parts, stream)
		}
		if !bytes.Equal(whole, parts) || failedWhole != failedParts || a.LastID != b.LastID || a.Events != b.Events {
			t.Fatalf("%q at once and %q in parts of %d", whole, parts, size)
		}
		if !failedParts && len(parts)+b.Buffered() != len(stream) {
			t.Fatalf("%d of %d bytes are lost", len(stream)-len(parts)-b.Buffered(), len(stream))
		}
	})
}
