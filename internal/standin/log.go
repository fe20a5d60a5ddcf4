// Package standin provides fakes of the platform's services and of the
// upstreams. Each can inject the faults that the real one has. The dev command,
// the tests and the measurements use them.
package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// Log is an in-memory platform log. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	appends int
	reads   int
}

// LogFaults selects the faults that a Log injects.
type LogFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseResponses makes each append take effect and then return
	// ErrUnavailable.
	LoseResponses bool
	// Delay is added to every call.
	Delay time.Duration
	// Retain is the number of newest records kept per stream; 0 keeps all.
	Retain int
}

type logStream struct {
	// first is the offset of records[0].
	first   backing.Offset
	records []backing.Record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

var _ backing.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[string]*logStream)}
}

// SetFaults replaces the injected faults. Setting Down also fails the reads that
// are waiting for new records.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.signal()
	}
}

// Counts returns the number of appends that took effect and of reads received.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Append implements backing.Log.
func (l *Log) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	if err := l.pause(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, backing.ErrUnavailable
	}
	l.appends++
	s := l.stream(stream)
	first := s.end() + 1
	for i, data := range entries {
		s.records = append(s.records, backing.Record{Offset: first + backing.Offset(i), Data: data})
	}
	s.trim(l.faults.Retain)
	s.signal()
	if l.faults.LoseResponses {
		return 0, backing.ErrUnavailable
	}
	return first, nil
}

// Read implements backing.Log.
func (l *Log) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	if err := l.pause(ctx); err != nil {
		return backing.Page{}, err
	}
	l.countRead()
	deadline := time.Now().Add(wait)
	for {
		page, changed, err := l.tryRead(stream, after, limit)
		left := time.Until(deadline)
		if err != nil || len(page.Records) > 0 || left <= 0 {
			return page, err
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if err := ctx.Err(); err != nil {
			return backing.Page{}, err
		}
	}
}

func (l *Log) countRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
}

func (l *Log) tryRead(stream string, after backing.Offset, limit int) (backing.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return backing.Page{}, nil, backing.ErrUnavailable
	}
	s := l.stream(stream)
	page := backing.Page{End: s.end()}
	if len(s.records) > 0 {
		page.Oldest = s.first
	}
	if after+1 < s.first {
		return page, nil, &backing.ExpiredError{Stream: stream, After: after, Oldest: s.first}
	}
	start := int(after + 1 - s.first)
	if start < len(s.records) {
		end := min(len(s.records), start+limit)
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page, s.changed, nil
}

func (l *Log) pause(ctx context.Context) error {
	l.mu.Lock()
	delay := l.faults.Delay
	l.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) end() backing.Offset {
	return s.first + backing.Offset(len(s.records)) - 1
}

func (s *logStream) trim(retain int) {
	if retain <= 0 || len(s.records) <= retain {
		return
	}
	excess := len(s.records) - retain
	s.first += backing.Offset(excess)
	s.records = append([]backing.Record(nil), s.records[excess:]...)
}

func (s *logStream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
