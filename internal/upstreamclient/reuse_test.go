package upstreamclient

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func exchange(t *testing.T, c *Client, addr, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := c.Do(ctx, addr, testRequest(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Close(err == nil)
	return string(body), err
}

// TestSecondCopy guards against a second copy of a response that reaches the next
// caller on the same connection, at each step at which the copy can arrive. Every
// caller must get the response to its own request.
func TestSecondCopy(t *testing.T) {
	late := make(chan struct{})
	for name, answer := range map[string]func(w io.Writer, conn, request int) bool{
		"with the response": func(w io.Writer, _, request int) bool {
			id := fmt.Sprint("r", request)
			_, err := io.WriteString(w, responseTo(id, id)+responseTo(id, id))
			return err == nil
		},
		"before the next response": func(w io.Writer, _, request int) bool {
			id, previous := fmt.Sprint("r", request), fmt.Sprint("r", request-1)
			copies := ""
			if request > 0 {
				copies = responseTo(previous, previous)
			}
			_, err := io.WriteString(w, copies+responseTo(id, id))
			return err == nil
		},
		"while the connection is idle": func(w io.Writer, _, request int) bool {
			id := fmt.Sprint("r", request)
			_, err := io.WriteString(w, responseTo(id, id))
			go func() {
				_, _ = io.WriteString(w, responseTo(id, id))
				late <- struct{}{}
			}()
			return err == nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			var received atomic.Int64
			u := startUpstream(t, func(w io.Writer, conn, _ int) bool {
				return answer(w, conn, int(received.Add(1))-1)
			})
			c := newTestClient()
			for i := range 5 {
				id := fmt.Sprint("r", i)
				body, err := exchange(t, c, u.addr, id)
				check.NoErr(err)
				check.Equal(body, id)
				if name == "while the connection is idle" {
					<-late
				}
			}
		})
	}
}

// TestSecondCopyOfSameRequest guards against a request that is sent to the same
// upstream again, after a refusal: a late second copy of the refusal carries the
// right id, and would tell the caller that the request did not run while it runs.
func TestSecondCopyOfSameRequest(t *testing.T) {
	check := is.New(t)
	u := startUpstream(t, func(w io.Writer, conn, request int) bool {
		answer := responseTo("r", "done")
		if conn == 0 {
			// Every response on the first connection is the refusal or its copy.
			answer = responseTo("r", "full")
		}
		_, err := io.WriteString(w, answer)
		return err == nil
	})
	c := newTestClient()
	body, err := exchange(t, c, u.addr, "r")
	check.NoErr(err)
	check.Equal(body, "full")
	body, err = exchange(t, c, u.addr, "r")
	check.NoErr(err)
	check.Equal(body, "done")
	check.Equal(u.conns.Load(), int64(2))
}

// TestIdleLimit guards against a request on a connection that the upstream may be
// about to close, before CloseIdle has closed it.
func TestIdleLimit(t *testing.T) {
	check := is.New(t)
	u := startUpstream(t, func(w io.Writer, _, _ int) bool {
		_, err := io.WriteString(w, responseTo("r", "done"))
		return err == nil
	})
	c := newTestClient()
	_, err := exchange(t, c, u.addr, "r")
	check.NoErr(err)
	c.mu.Lock()
	cn := c.idle[u.addr][0]
	cn.idleSince = time.Now().Add(-cn.maxIdle())
	c.mu.Unlock()
	check.Equal(c.takeIdle(u.addr, testRequest("other")), (*conn)(nil))
}

// TestIdleConnectionsBeyondTheUpstreamsLimit guards against more idle connections to an
// upstream than it bears.
func TestIdleConnectionsBeyondTheUpstreamsLimit(t *testing.T) {
	check := is.New(t)
	const limit, requests = 3, 12
	u := startUpstream(t, func(w io.Writer, _, _ int) bool {
		_, err := io.WriteString(w, responseTo("r", "r"))
		return err == nil
	})
	c := newTestClient()
	c.SetIdleLimit(func(string) int { return limit })
	var open []*Response
	for range requests {
		resp, err := c.Do(t.Context(), u.addr, testRequest("r"))
		check.NoErr(err)
		open = append(open, resp)
	}
	for _, resp := range open {
		_, err := io.ReadAll(resp.Body)
		check.NoErr(err)
		resp.Close(true)
	}
	check.Equal(len(c.idle[u.addr]), limit)
}
