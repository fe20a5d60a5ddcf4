// Package eventstream cuts a text/event-stream into whole events, so that a
// stream which breaks inside an event can go on at another upstream.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event. Events of model engines have some hundred bytes.
const maxEventBytes = 256 << 10

// Splitter collects bytes and gives out whole events. The zero value is ready.
type Splitter struct {
	buf []byte
	// done is the number of bytes at the front of buf that were given out.
	done int
	// LastID is the id of the last event that was given out. A stream that goes on
	// elsewhere begins with the id of the last event that the caller has.
	LastID string
	// Events is how many events were given out.
	Events int
}

// Add appends bytes of the stream and returns the whole events that are
// complete now. The result is valid until the next call.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.buf = append(s.buf[:0], s.buf[s.done:]...)
	s.done = 0
	s.buf = append(s.buf, p...)
	for {
		i := bytes.Index(s.buf[s.done:], []byte("\n\n"))
		if i < 0 {
			break
		}
		if err := s.note(s.buf[s.done : s.done+i]); err != nil {
			return s.buf[:s.done], err
		}
		s.done += i + 2
	}
	if len(s.buf)-s.done > maxEventBytes {
		return nil, errors.Errorf("an event is longer than %d bytes", maxEventBytes)
	}
	return s.buf[:s.done], nil
}

// Partial reports whether bytes of an incomplete event are left.
func (s *Splitter) Partial() bool { return len(s.buf) > s.done }

// Reset drops the incomplete event, before the stream goes on elsewhere.
func (s *Splitter) Reset() { s.buf, s.done = s.buf[:0], 0 }

// note checks that an event follows the last one. An upstream that begins anew,
// or answers another request, would otherwise be joined to what the caller has.
func (s *Splitter) note(event []byte) error {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		next := string(bytes.TrimSpace(id))
		if !follows(s.LastID, next) {
			return errors.Errorf("event %q follows event %q", next, s.LastID)
		}
		s.LastID = next
	}
	s.Events++
	return nil
}

// follows reports whether an event may come after another. Ids that are not
// numbers are not compared.
func follows(last, next string) bool {
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
