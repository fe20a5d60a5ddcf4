package peer

import "sync"

const (
	// firstInputBytes is the capacity of the buffer of most requests, and secondInputBytes that of
	// those with a longer head or a body. The first part of a body goes through the buffer, too.
	firstInputBytes  = 4 << 10
	secondInputBytes = 16 << 10
	// maxInputBytes is the largest capacity outside heads. Hertz asks for up to 8 KiB of a body before
	// the handler, and the handler for up to maxPieceBytes of a chunk.
	maxInputBytes = 64 << 10
)

var (
	inputPool       = sync.Pool{New: func() any { return new([firstInputBytes]byte) }}
	secondInputPool = sync.Pool{New: func() any { return new([secondInputBytes]byte) }}
)

// inputBuffer holds received bytes that were not read yet, in one piece. Hertz's own buffer is a list of
// pieces that are all kept to the end of a request, together with a copy for each time that hertz looks
// at more than one of them.
type inputBuffer struct {
	data []byte
	// start and end delimit the unread bytes.
	start, end int
}

func (b *inputBuffer) size() int { return b.end - b.start }

func (b *inputBuffer) unread() []byte { return b.data[b.start:b.end] }

// free returns the place for the next bytes.
func (b *inputBuffer) free() []byte { return b.data[b.end:] }

// ensure makes room for n unread bytes.
func (b *inputBuffer) ensure(n int) {
	switch {
	case len(b.data)-b.start >= n && b.end < len(b.data):
		return
	case len(b.data) >= n && b.start > 0:
		b.start, b.end = 0, copy(b.data, b.unread())
	default:
		data := newInput(b.capacityFor(n))
		end := copy(data, b.unread())
		b.recycle()
		b.data, b.start, b.end = data, 0, end
	}
}

// capacityFor returns the capacity after ensure(n).
func (b *inputBuffer) capacityFor(n int) int {
	switch {
	case n <= len(b.data):
		return len(b.data)
	case n <= firstInputBytes:
		return firstInputBytes
	case n <= secondInputBytes:
		return secondInputBytes
	default:
		return max(n, 2*len(b.data))
	}
}

func newInput(capacity int) []byte {
	switch capacity {
	case firstInputBytes:
		return inputPool.Get().(*[firstInputBytes]byte)[:]
	case secondInputBytes:
		return secondInputPool.Get().(*[secondInputBytes]byte)[:]
	default:
		return make([]byte, capacity)
	}
}

// recycle gives the memory back.
func (b *inputBuffer) recycle() {
	switch len(b.data) {
	case firstInputBytes:
		inputPool.Put((*[firstInputBytes]byte)(b.data))
	case secondInputBytes:
		secondInputPool.Put((*[secondInputBytes]byte)(b.data))
	}
	b.data, b.start, b.end = nil, 0, 0
}
