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

// send sends one attempt on a new connection.
func (b *bed) send(e *entry, id, path string, left time.Duration) (how string) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.front+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Host = "shop.example"
	req.Header.Set("Jacinthbend-Request-Id", id)
	req.Header.Set("Jacinthbend-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
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
