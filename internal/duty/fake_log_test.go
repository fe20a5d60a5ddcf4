package duty_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

var errFault = errors.New("injected fault")

// fakeLog is the partition of the platform's log.
type fakeLog struct {
	// slow is how long a call takes in addition.
	slow  atomic.Int64
	mu    sync.Mutex
	era   int64
	items []topicwatch.Item
	down  bool
	// calls counts the calls, appends and reads.
	calls int
	// claims has when other instances than the one before claimed, by token.
	claims map[int64]time.Time
	last   string
	// next is what happens to the next append: nothing, "lost" (the answer) or "late" (the append).
	next string
}

const (
	logLatency = 6 * time.Millisecond
	lateBy     = 2 * time.Second
)

func (l *fakeLog) append(ctx context.Context, key string, value []byte, at int64) (topicwatch.Position, error) {
	l.mu.Lock()
	fault := l.next
	l.next = ""
	l.mu.Unlock()
	if fault == "late" {
		go func() {
			time.Sleep(lateBy)
			_, _ = l.append(context.Background(), key, value, at)
		}()
		<-ctx.Done()
		return topicwatch.Position{}, errFault
	}
	time.Sleep(logLatency + time.Duration(l.slow.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return topicwatch.Position{}, errFault
	}
	if at != int64(len(l.items)) {
		return topicwatch.Position{}, topicwatch.ErrEndMoved
	}
	l.items = append(l.items, topicwatch.Item{Key: key, Value: value, Offset: at})
	var claim struct{ Holder string }
	if _ = json.Unmarshal(value, &claim); key == "usage" && claim.Holder != l.last {
		l.last, l.claims[fence(topicwatch.Position{Era: l.era, Offset: at})] = claim.Holder, time.Now()
	}
	if fault == "lost" {
		return topicwatch.Position{}, errFault
	}
	return topicwatch.Position{Era: l.era, Offset: at}, nil
}

func (l *fakeLog) read(from topicwatch.Position) (topicwatch.Page, error) {
	time.Sleep(logLatency + time.Duration(l.slow.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	switch {
	case l.down:
		return topicwatch.Page{}, errFault
	case from.Offset > int64(len(l.items)):
		return topicwatch.Page{Era: l.era}, topicwatch.ErrExpired
	}
	return topicwatch.Page{Era: l.era, Next: int64(len(l.items)), Items: l.items[from.Offset:]}, nil
}

func (l *fakeLog) list() (topicwatch.Page, error) {
	time.Sleep(logLatency + time.Duration(l.slow.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return topicwatch.Page{}, errFault
	}
	newest := make(map[string]topicwatch.Item)
	for _, it := range l.items {
		newest[it.Key] = it
	}
	page := topicwatch.Page{Era: l.era, Next: int64(len(l.items))}
	for _, it := range newest {
		page.Items = append(page.Items, it)
	}
	return page, nil
}

// restore brings the log back from a copy without its last records.
func (l *fakeLog) restore(lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	l.items = l.items[:max(0, len(l.items)-lost)]
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) currentEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

func (l *fakeLog) setNext(fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = fault
}

// callCount returns the number of calls so far. Instances go on calling while a test ends.
func (l *fakeLog) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}
