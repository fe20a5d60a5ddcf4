package gateway

import "bytes"

// Sizes of the segments of a buffered body. Each is twice as long as the one before.
const (
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 64 << 10
)

// responseBody is the body of a response that is read to its end before it is sent. It grows by
// segments, so that it never has to be copied, and its capacity is at most maxSegmentBytes more than
// its length.
type responseBody struct {
	segments [][]byte
	size     int
	// capacity is what the segments take, in bytes.
	capacity int
}

// space returns a place for the next bytes, or nil if a further segment is needed.
func (b *responseBody) space() []byte {
	if len(b.segments) == 0 {
		return nil
	}
	last := b.segments[len(b.segments)-1]
	if len(last) == cap(last) {
		return nil
	}
	return last[len(last):cap(last)]
}

// nextSegment returns how long the next segment is, if at most left bytes are still to come.
func (b *responseBody) nextSegment(left int64) int {
	n := firstSegmentBytes
	if len(b.segments) > 0 {
		n = min(maxSegmentBytes, 2*cap(b.segments[len(b.segments)-1]))
	}
	return int(min(int64(n), left))
}

// grow adds a segment.
func (b *responseBody) grow(n int) {
	b.segments = append(b.segments, make([]byte, 0, n))
	b.capacity += n
}

// advance tells that n bytes were written to space.
func (b *responseBody) advance(n int) {
	if n == 0 {
		return
	}
	last := len(b.segments) - 1
	b.segments[last] = b.segments[last][:len(b.segments[last])+n]
	b.size += n
}

// bytes returns the body as a whole.
func (b *responseBody) bytes() []byte { return bytes.Join(b.segments, nil) }
