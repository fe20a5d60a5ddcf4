// Package eventstream splits a text/event-stream into complete events, so that a
// stream that breaks within an event can be resumed at another upstream.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event. Events of model engines have a few hundred bytes.
const maxEventBytes = 256 << 10

// minBufferBytes holds several events of ordinary size.
const minBufferBytes = 512

// Splitter buffers bytes of a stream and returns complete events. The zero value is
// ready to use.
type Splitter struct {
	buf []byte
	// emitted is the number of bytes at the front of buf that Add has returned.
	emitted int
	// LastID is the id of the last event that Add has returned. For a resumed stream
	// it is first set to the id of the last event that the caller has.
	LastID string
	// Events is how many events Add has returned.
	Events int
}

// Add appends bytes of the stream and returns the events that are complete now. The
// result is valid until the next call.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	rest := s.buf[s.emitted:]
	if n := s.CapacityFor(len(p)); n > cap(s.buf) {
		s.buf = make([]byte, 0, n)
	}
	s.buf = append(s.buf[:0], rest...)
	s.emitted = 0
	s.buf = append(s.buf, p...)
	for {
		n, end := findEventEnd(s.buf[s.emitted:])
		if n < 0 {
			break
		}
		if err := s.acceptEvent(s.buf[s.emitted : s.emitted+n]); err != nil {
			return s.buf[:s.emitted], err
		}
		s.emitted += end
	}
	if len(s.buf)-s.emitted > maxEventBytes {
		return nil, errors.Errorf("event exceeds %d bytes", maxEventBytes)
	}
	return s.buf[:s.emitted], nil
}

// findEventEnd returns the length of the first event in p without the blank line that
// ends it, and with that line. Lines end with LF or CRLF. It returns -1 if the event
// is incomplete.
func findEventEnd(p []byte) (n, end int) {
	for from := 0; ; {
		i := bytes.IndexByte(p[from:], '\n')
		if i < 0 {
			return -1, 0
		}
		line := from + i
		rest := p[line+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return line, line + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return line, line + 3
		}
		from = line + 1
	}
}

// Buffered returns the length of the incomplete event in bytes.
func (s *Splitter) Buffered() int { return len(s.buf) - s.emitted }

// CapacityFor returns how many bytes of memory the buffer takes after Add of n bytes. It doubles, up to
// what the longest event needs.
func (s *Splitter) CapacityFor(n int) int {
	need, size := s.Buffered()+n, cap(s.buf)
	if need <= size {
		return size
	}
	return max(need, min(max(2*size, minBufferBytes), maxEventBytes))
}

// Partial reports whether the buffer holds an incomplete event.
func (s *Splitter) Partial() bool { return len(s.buf) > s.emitted }

// Reset drops the incomplete event, before the stream is resumed at another upstream.
func (s *Splitter) Reset() { s.buf, s.emitted = s.buf[:0], 0 }

// acceptEvent checks that an event follows the last one and counts it. Without the
// check, an upstream that starts the stream over or answers another request would
// corrupt the stream that the caller has received so far.
func (s *Splitter) acceptEvent(event []byte) error {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		next := string(bytes.TrimSpace(id))
		if !mayFollow(s.LastID, next) {
			return errors.Errorf("event id %q does not follow event id %q", next, s.LastID)
		}
		s.LastID = next
	}
	s.Events++
	return nil
}

// mayFollow reports whether the event with id next may come after the one with id
// last. Ids that are not numbers are not compared.
func mayFollow(last, next string) bool {
	n, err := strconv.ParseInt(next, 10, 64)
	if err != nil {
		return true
	}
	if last == "" {
		return n <= 1
	}
	l, err := strconv.ParseInt(last, 10, 64)
	return err != nil || n == l+1
}
