package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the store on the small deployments.
const storeDelay = 4 * time.Millisecond

// store is a stand-in of the platform's store: a log of topics with one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// cutOff has the addresses of the store at which it resets all calls. Each machine has its own.
	cutOff map[string]bool
}

type storeRecord struct {
	raw        []byte
	key, value string
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), changed: make(chan struct{}), cutOff: make(map[string]bool)}
}

// put appends a record to a keyed topic and returns its offset. An empty value drops the key.
func (s *store) put(topic, key, value string) int64 {
	raw := append([]byte{byte(len(key))}, key...)
	return s.append(topic, [][]byte{append(raw, value...)})
}

func (s *store) append(topic string, records [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int64(len(s.topics[topic]))
	for _, raw := range records {
		r := storeRecord{raw: raw}
		if strings.HasPrefix(topic, "keyed.") && len(raw) > int(raw[0]) {
			r.key, r.value = string(raw[1:1+raw[0]]), string(raw[1+raw[0]:])
		}
		s.topics[topic] = append(s.topics[topic], r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// ServeHTTP implements the calls log-append, log-read and log-newest.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.isCutOff(r) {
		reset(w)
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.serveAppend(w, r, topic)
	case "GET /-/log-read":
		s.serveRead(w, r, topic)
	case "GET /-/log-newest":
		s.serveNewest(w, topic, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) isCutOff(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutOff[r.Host]
}

// setCutOff makes the store reset the calls that come to an address of its, or serve them again. Calls
// that wait are ended.
func (s *store) setCutOff(addr string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[addr] = cutOff
	close(s.changed)
	s.changed = make(chan struct{})
}

// reset ends the connection of a call without an answer.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	if at := r.URL.Query().Get("at"); at != "" {
		s.mu.Lock()
		end := len(s.topics[topic])
		s.mu.Unlock()
		if strconv.Itoa(end) != at {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
			return
		}
	}
	first := s.append(topic, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": first + int64(len(records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		records, changed, cutOff := s.topics[topic], s.changed, s.cutOff[r.Host]
		s.mu.Unlock()
		if cutOff {
			reset(w)
			return
		}
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []storeRecord, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[i].raw)))
		out = append(out, records[i].raw...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]int)
	for i, r := range s.topics[topic] {
		if r.value == "" {
			delete(newest, r.key)
		} else {
			newest[r.key] = i
		}
	}
	var keys []string
	for k := range newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	const pageItems = 500
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := []any{}
	for _, k := range keys {
		value := base64.StdEncoding.EncodeToString([]byte(s.topics[topic][newest[k]].value))
		items = append(items, map[string]any{"key": k, "value": value, "offset": newest[k]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
