package gateway_test

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The poor team may send one request of 60 tokens in a window of 1.25 s.
var poor = "X-Api-Key: poor"

// TestWaitForQuota guards against refusing a request whose tokens are free early enough for its
// objective, and against holding one whose caller is better served by coming back.
func TestWaitForQuota(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok"))
	check.Equal(env.send("GET", "/safe/", "", poor).status, 200)
	start := time.Now()
	check.Equal(env.send("GET", "/slow/", "", poor, withID(2)).status, 200)
	waited := time.Since(start)
	check.True(waited > time.Second && waited < 2*time.Second)

	start = time.Now()
	const deadline = "Jacinthbend-Deadline-Ms: 4500"
	refused := env.send("GET", "/quick/", "", poor, withID(3), deadline)
	check.Equal(refused.status, 429)
	check.True(time.Since(start) < time.Second) // refused at once
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	check.NoErr(err)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	check.Equal(env.send("GET", "/quick/", "", poor, withID(4), deadline).status, 200)
	env.waitIdle()
	check.Equal(env.logs.FilterMessage("team over its rate limit").All()[0].ContextMap()["booked"], true)
	back := env.logs.FilterMessage("refused request came back").All()[0].ContextMap()
	check.Equal(back["promised"], true)
	check.Equal(back["kept"], true)
}

// TestWaitForQuotaEnds guards against a request that waits for tokens although its caller has
// disconnected or the instance is about to exit, and against tokens that stay booked for a caller
// that has left.
func TestWaitForQuotaEnds(t *testing.T) {
	check := is.New(t)
	env := newEnv(t, respond(200, "ok"))
	check.Equal(env.send("GET", "/safe/", "", poor).status, 200)
	wait := func(id int) net.Conn {
		c := env.dial()
		env.writeRequest(c, "GET", "/slow/", fmt.Sprint("body ", id), poor, withID(id))
		env.eventually("the request to wait", func() bool { return env.lifecycle.Running() == 1 })
		time.Sleep(50 * time.Millisecond)
		check.True(env.lifecycle.Running() == 1)
		return c
	}
	check.NoErr(wait(2).Close())
	env.eventually("the caller's disconnect to end its wait", func() bool { return env.lifecycle.Running() == 0 })
	time.Sleep(50 * time.Millisecond) // the booking is cancelled in the background
	c := wait(3)                      // finds its tokens in time only if the booking has been cancelled
	env.gateway.RefuseWaiting()
	resp := env.readResponse(c, "GET")
	check.Equal(resp.status, 503)
	check.True(resp.header.Get("Retry-After") != "")
	check.Equal(len(env.receivedRequests()), 1)
}
