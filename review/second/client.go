package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// deadline is how long a client waits.
const deadline = 1500 * time.Millisecond

// send sends one attempt on a new connection. headers are names and values.
func (b *bed) send(e *entry, id, path string, left time.Duration, headers ...string) (how string) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.front+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Host = "shop.example"
	req.Header.Set("Jacinthbend-Request-Id", id)
	req.Header.Set("Jacinthbend-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	b.noteSent(id)
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		b.logf("\tclient %s at %s: no answer", id, e.name)
		return "no answer"
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	b.logf("\tclient %s at %s: %d, stamp %q", id, e.name, resp.StatusCode, resp.Header.Get("Jacinthbend-Server-Stamp"))
	return fmt.Sprint(resp.StatusCode)
}

// noteSent notes when a request is sent.
func (b *bed) noteSent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[id] = time.Now()
}

func (b *bed) sentAt(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[id]
}
