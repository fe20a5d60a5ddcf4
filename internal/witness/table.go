package witness

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/route"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Limits of a Table.
const (
	// MaxRecordBytes limits the quota and usage sections of a record together.
	MaxRecordBytes = 64 << 10
	// maxRecords and maxTableBytes limit all records together. An agent has 216 MB of memory; at 1,600
	// entry instances and 5,600 agents it is the witness of one on average.
	maxRecords    = 4096
	maxTableBytes = 16 << 20
	// maxStarts limits the records of one instance, of which each start within the retention has one.
	maxStarts = 16
)

// Table keeps the newest record of each start of each entry instance, for two quota windows. It is
// safe for concurrent use.
type Table struct {
	name      string
	clock     Clock
	epoch     uint64
	began     time.Duration
	retention time.Duration

	mu        sync.Mutex
	records   map[string][]received
	count     int
	bytes     int
	expiredAt time.Duration
}

// received is a record with the time of its receipt.
type received struct {
	Record
	at time.Duration
}

// NewTable returns the table of the agent called name, whose process starts now.
func NewTable(name string, window time.Duration, clock Clock) *Table {
	return &Table{name: name, clock: clock, epoch: rand.Uint64() >> 11, began: clock(), retention: 2 * window, records: make(map[string][]received)}
}

// Register adds handlers for the calls of entry instances to r.
func (t *Table) Register(r *route.Engine) {
	peer.Handle(r, PathWrite, func(_ context.Context, rec Record) (WriteResponse, error) { return t.Write(rec) })
	peer.Handle(r, PathRead, func(_ context.Context, req ReadRequest) (ReadResponse, error) { return t.Read(req), nil })
}

// Write takes a record, unless it knows a newer one of the same start. It takes none rather than
// drop one of another instance, which may be part of a majority.
func (t *Table) Write(rec Record) (WriteResponse, error) {
	if rec.Instance == "" || rec.Start == 0 || rec.Sequence == 0 || len(rec.Sets) == 0 {
		return WriteResponse{}, errkind.New(errkind.InvalidRequest, "the record names no instance, start, sequence or witnesses")
	}
	if rec.size() > MaxRecordBytes {
		return WriteResponse{}, errkind.New(errkind.BodyTooLarge, "the record is too large")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.expire(now)
	known := t.records[rec.Instance]
	for _, k := range known {
		if slices.Contains(k.Covers, rec.Start) {
			return WriteResponse{Clock: t.mark(now), Superseded: true}, nil
		}
	}
	i := slices.IndexFunc(known, func(k received) bool { return k.Start == rec.Start })
	if i >= 0 && known[i].Sequence >= rec.Sequence {
		return WriteResponse{Clock: t.mark(now)}, nil
	}
	added, bytes := 1, rec.size()
	if i >= 0 {
		added, bytes = 0, bytes-known[i].size()
	}
	if t.count+added > maxRecords || t.bytes+bytes > maxTableBytes || len(known)+added > maxStarts {
		return WriteResponse{}, errkind.New(errkind.QueueFull, "the witness has no room for the record")
	}
	t.count, t.bytes = t.count+added, t.bytes+bytes
	if i >= 0 {
		known[i] = received{rec, now}
	} else {
		t.records[rec.Instance] = append(known, received{rec, now})
	}
	return WriteResponse{Clock: t.mark(now)}, nil
}

// Read returns the records of one instance or of all.
func (t *Table) Read(req ReadRequest) ReadResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.expire(now)
	resp := ReadResponse{UptimeMS: (now - t.began).Milliseconds()}
	add := func(records []received) {
		for _, r := range records {
			s := Stored{Record: r.Record, AgeMS: (now - r.at).Milliseconds(), LeaseAgeMS: -1}
			if m, ok := r.Lease[t.name]; ok && m.Epoch == t.epoch {
				s.LeaseAgeMS = max(0, (now-t.began-m.At()).Milliseconds()+1)
			}
			if req.UsageOnly {
				s.Quota = nil
			}
			resp.Records = append(resp.Records, s)
		}
	}
	if req.Instance != "" {
		add(t.records[req.Instance])
		return resp
	}
	for _, records := range t.records {
		add(records)
	}
	return resp
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock())
	return t.count
}

func (t *Table) mark(now time.Duration) Mark {
	return Mark{Epoch: t.epoch, AtMS: (now - t.began).Milliseconds()}
}

// expireInterval limits how often expire looks at all records.
const expireInterval = 200 * time.Millisecond

// expire drops the records that are older than the retention. The caller holds the lock.
func (t *Table) expire(now time.Duration) {
	if now-t.expiredAt < expireInterval {
		return
	}
	t.expiredAt = now
	for instance, records := range t.records {
		kept := slices.DeleteFunc(records, func(r received) bool {
			expired := now-r.at > t.retention
			if expired {
				t.count--
				t.bytes -= r.size()
			}
			return expired
		})
		if len(kept) == 0 {
			delete(t.records, instance)
		} else {
			t.records[instance] = kept
		}
	}
}
