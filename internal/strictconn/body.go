package strictconn

// bodyKind is what ends a body.
type bodyKind int

const (
	// sized bodies have a length, which may be 0.
	sized bodyKind = iota
	inChunks
	// untilEnd bodies end with their connection.
	untilEnd
)

// body checks the framing of a body.
type body struct {
	kind bodyKind
	// left is how many bytes of a sized body or of the current chunk are still to come.
	left   int64
	chunks chunks
}

// next returns how many of p, the bytes that arrived next, belong to the body and are valid, how many of
// these are its trailer, and whether the body ends with them.
func (b *body) next(p []byte) (n, trailer int, done bool, err error) {
	switch b.kind {
	case inChunks:
		return b.nextChunks(p)
	case untilEnd:
		return len(p), 0, false, nil
	default:
		n = int(min(b.left, int64(len(p))))
		b.left -= int64(n)
		return n, 0, b.left == 0, nil
	}
}

// nextChunks is next for a body in chunks. The trailer begins with the LF after the size of the last chunk.
func (b *body) nextChunks(p []byte) (n, trailer int, done bool, err error) {
	for n < len(p) {
		if b.chunks.state == chunkData {
			data := int(min(b.left, int64(len(p)-n)))
			n, b.left = n+data, b.left-int64(data)
			if b.left == 0 {
				b.chunks.state = dataCR
			}
			continue
		}
		done, err = b.chunks.add(p[n])
		if err != nil {
			return n, trailer, false, err
		}
		n++
		switch b.chunks.state {
		case chunkData:
			b.left = b.chunks.size
		case inTrailer:
			trailer++
		}
		if done {
			return n, trailer, true, nil
		}
	}
	return n, trailer, false, nil
}
