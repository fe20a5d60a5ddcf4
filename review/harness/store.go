package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log with keyed topics of one
// partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// down rejects all calls of the system with 503.
	down bool
}

type record struct {
	key   string
	value []byte
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{})}
}

// put writes a record of the operator or of a server.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.append(topic, []record{{key, data}})
}

func (s *store) append(topic string, records []record) (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first, len(s.topics[topic])
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /-/log-newest":
		s.newest(w, r)
	case "GET /-/log-read":
		s.read(w, r)
	case "POST /-/log-append":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]item)
	for i, rec := range records {
		newest[rec.key] = item{rec.key, rec.value, i}
	}
	items := []item{}
	for _, it := range newest {
		if len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(records)})
}

// read answers once there are records, or after wait_ms.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := wait == 0; ; {
		s.mu.Lock()
		records, changed, down := s.topics[q.Get("topic")], s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(records) > from || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	const lengthBytes = 4
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) > lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		k := int(body[lengthBytes])
		rec := body[lengthBytes+1 : lengthBytes+n]
		records = append(records, record{string(rec[:k]), rec[k:]})
		body = body[lengthBytes+n:]
	}
	first, end := s.append(r.URL.Query().Get("topic"), records)
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": end})
}
