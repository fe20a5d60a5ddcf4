package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata
// store"). It keeps all records in memory and answers at once.
type Store struct {
	addr string

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	handler http.Handler
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore() (*Store, error) {
	s := &Store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", s.append)
	s.handler = mux
	addr, err := serve(mux)
	s.addr = addr
	return s, err
}

// serve serves h on a free loopback port and returns its address.
func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// put appends a record; a nil value removes the key.
func (s *Store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, key, data)
}

func (s *Store) appendLocked(topic, key string, value []byte) int {
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[q.Get("topic")]
	byKey := make(map[string]item)
	for i, rec := range records {
		if len(rec.value) == 0 {
			delete(byKey, rec.key)
			continue
		}
		byKey[rec.key] = item{rec.key, rec.value, i}
	}
	items := []item{}
	for k, it := range byKey {
		if k > q.Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	const page = 500
	more := len(items) > page
	if more {
		items = items[:page]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": len(records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if len(records) > from {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(append(out, rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			_, _ = w.Write(binary.BigEndian.AppendUint64(out, 0))
			return
		}
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := int(body[4])
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(s.topics[topic])) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, len(s.topics[topic]))
		return
	}
	offset := s.appendLocked(topic, string(body[5:5+n]), append([]byte(nil), body[5+n:]...))
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset+1)
}

// StoreLink is an address of the store for one machine, which the store can turn away.
type StoreLink struct {
	addr string
	name string

	mu   sync.Mutex
	away bool
	// lost counts the times at which the store began to turn the machine away.
	lost int
}

// link returns an address of the store for one machine.
func (s *Store) link(name string) *StoreLink {
	l := &StoreLink{name: name}
	var err error
	l.addr, err = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		away, lost := l.state()
		if away {
			<-r.Context().Done()
			return
		}
		answer := httptest.NewRecorder()
		s.handler.ServeHTTP(answer, r)
		if away, now := l.state(); away || now != lost {
			// The connection on which an answer is lost returns nothing further.
			<-r.Context().Done()
			return
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	check(err)
	return l
}

func (l *StoreLink) state() (away bool, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.away, l.lost
}

// turnAway makes the store give the machine no response for d.
func (l *StoreLink) turnAway(d time.Duration) {
	l.mu.Lock()
	l.away = true
	l.lost++
	l.mu.Unlock()
	record("the store gives %s no response for %v", l.name, d)
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.away = false
		record("the store answers %s again", l.name)
	})
}
