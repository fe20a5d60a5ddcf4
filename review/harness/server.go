package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// serveModels is the process of a model server or of a plain service. It prints a line for each
// request that it runs.
func serveModels(args []string) {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	listen := f.String("listen", "", "address")
	id := f.String("id", "", "instance id")
	born := f.Int64("born", 0, "start in Unix milliseconds")
	model := f.String("model", "", "the model that it holds; none for a plain service")
	events := f.Int("events", 10, "events of a stream")
	interval := f.Duration("interval", 20*time.Millisecond, "time between two events")
	crashAfter := f.Duration("crash-after", 0, "time until a harmful request ends the process")
	keepsRunning := f.Bool("keeps-running", false, "a request goes on when its connection has closed")
	unframed := f.Bool("unframed", false, "answers have no length and end with their connection")
	check(f.Parse(args))
	s := &server{id: *id, born: *born, model: *model, events: *events, interval: *interval, unframed: *unframed, crashAfter: *crashAfter, keepsRunning: *keepsRunning}
	ln, err := net.Listen("tcp", *listen)
	check(err)
	check(http.Serve(ln, s))
}

type server struct {
	id       string
	born     int64
	model    string
	events   int
	interval time.Duration
	unframed bool
	// crashAfter and keepsRunning tell what a harmful request does.
	crashAfter   time.Duration
	keepsRunning bool
}

// harmful is the body of requests that end the server.
const harmful = "harmful"

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Jacinthbend-Request-Id")
	switch {
	case r.URL.Path == "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": s.models(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 200000,
			"handles": 0, "born": s.born, "pending": []string{}, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
		})
		return
	case r.URL.Path == "/health":
		w.Header().Set("Jacinthbend-Instance-Id", s.id)
		return
	case r.URL.Path == "/-/order":
		w.WriteHeader(http.StatusConflict)
		return
	case r.Header.Get("Jacinthbend-Expect-Instance") != s.id && r.Header.Get("Jacinthbend-Expect-Instance") != "":
		w.Header().Set("Jacinthbend-Request-Id", id)
		w.Header().Set("Jacinthbend-Not-Executed", "1")
		w.Header().Set("Jacinthbend-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fmt.Printf("run %s bytes=%d resume=%q\n", id, len(body), r.Header.Get("Last-Event-Id"))
	if string(body) == harmful {
		s.crash(r.Context())
		return
	}
	if s.model == "" {
		w.Header().Set("Jacinthbend-Request-Id", id)
		w.Header().Set("Jacinthbend-Server-Stamp", "st."+id)
		time.Sleep(s.interval)
		_, _ = io.WriteString(w, "answer to "+id+"\n")
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if s.unframed {
		s.streamUnframed(w, id, first)
		return
	}
	h := w.Header()
	h.Set("Jacinthbend-Request-Id", id)
	h.Set("Jacinthbend-Server-Stamp", "st."+id)
	h.Set("Jacinthbend-Weights-Version", "1")
	h.Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= s.events; i++ {
		time.Sleep(s.interval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	fmt.Printf("end %s\n", id)
}

// crash ends the process unless the request is dropped before.
func (s *server) crash(ctx context.Context) {
	if s.keepsRunning {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case <-time.After(s.crashAfter):
		os.Exit(crashCode)
	case <-ctx.Done():
	}
}

// crashCode is the exit code of a server that crashes.
const crashCode = 3

// streamUnframed answers without a length; the end of the connection ends the answer.
func (s *server) streamUnframed(w http.ResponseWriter, id string, first int) {
	c, rw, err := w.(http.Hijacker).Hijack()
	check(err)
	defer func() { _ = c.Close() }()
	write(rw.Writer, "HTTP/1.1 200 OK\r\nJacinthbend-Request-Id: "+id+"\r\nJacinthbend-Server-Stamp: st."+id+
		"\r\nJacinthbend-Weights-Version: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	for i := first + 1; i <= s.events; i++ {
		time.Sleep(s.interval)
		write(rw.Writer, fmt.Sprintf("id: %d\ndata: %s\n\n", i, id))
	}
	fmt.Printf("end %s\n", id)
}

func write(w *bufio.Writer, text string) {
	_, _ = w.WriteString(text)
	_ = w.Flush()
}

func (s *server) models() []map[string]any {
	if s.model == "" {
		return nil
	}
	return []map[string]any{{"name": s.model, "version": 1, "adapters": []string{}}}
}
