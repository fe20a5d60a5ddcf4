package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

const (
	callerCount = 10
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime       = 40 * time.Millisecond
	requestDeadline = 2500 * time.Millisecond
	// clientTimeout ends a caller's wait long after the request's deadline, so that
	// late answers are still seen.
	clientTimeout = 12 * time.Second
	// One request in cancelOneIn is canceled by its caller before the answer.
	cancelOneIn = 25
)

// startCallers starts callerCount callers, which send requests until ctx ends.
// Each caller reuses its connections until the process at the other end closes
// them.
func (tb *testbed) startCallers(ctx context.Context, seed uint64) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for i := range callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			t := &http.Transport{MaxIdleConnsPerHost: 1}
			defer t.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				tb.sendRequest(t, r, fmt.Sprintf("c%d-%d", i, n), i%3 == 0)
				time.Sleep(time.Duration(r.ExpFloat64() * float64(thinkTime)))
			}
		})
	}
	return wg
}

// pickReadyEntry returns the index of an entry instance whose readiness probe
// succeeds, searching from a random one. It returns false if there is none:
// then the platform's load balancer has no instance to send to.
func (tb *testbed) pickReadyEntry(r *rand.Rand) (int, bool) {
	first := r.IntN(len(tb.entries))
	for i := range tb.entries {
		if entry := (first + i) % len(tb.entries); tb.entries[entry].ready() {
			return entry, true
		}
	}
	return 0, false
}

// sendRequest sends one random request to a ready entry instance, as the
// platform's load balancer does, and records it with its answer.
func (tb *testbed) sendRequest(t *http.Transport, r *rand.Rand, id string, small bool) {
	entry, ok := tb.pickReadyEntry(r)
	if !ok {
		return
	}
	k := pick(r, requestKinds)
	s := &sentRequest{kind: k, entry: entry, team: "large", Request: platformtest.Request{
		ID: id, Method: http.MethodPost, Host: "h.example", Path: k.path, Key: tb.keys[0], Model: k.model,
		Body: fmt.Sprintf("body of %s %0*d", id, r.IntN(2000), 0), Deadline: requestDeadline,
	}}
	if !k.nonIdempotent && !k.stream {
		s.Method = http.MethodGet
		s.Body = ""
	}
	if small {
		s.team, s.Key = smallTeam, tb.keys[1]
	}
	if k.stream {
		s.TokensIn, s.TokensOut = 10+r.IntN(30), streamEvents
		s.Prompt = promptOf(k.name, id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	cancels := r.IntN(cancelOneIn) == 0
	if cancels {
		var cancelEarly context.CancelFunc
		ctx, cancelEarly = context.WithTimeout(ctx, time.Duration(r.IntN(200))*time.Millisecond)
		defer cancelEarly()
	}
	a := tb.send(ctx, t, s)
	if cancels && a.Err != nil {
		tb.checker.recordCancel(s)
		return
	}
	tb.checker.recordAnswer(s, a)
	for range maxResumes {
		if s = s.resume(a); s == nil {
			return
		}
		if s.entry, ok = tb.pickReadyEntry(r); !ok {
			return
		}
		a = tb.send(ctx, t, s)
		tb.checker.recordAnswer(s, a)
	}
}

// maxResumes is how often a caller resumes a stream that breaks off.
const maxResumes = 2

func (tb *testbed) send(ctx context.Context, t *http.Transport, s *sentRequest) platformtest.Response {
	tb.checker.recordSend(s)
	return platformtest.Send(ctx, t, tb.entries[s.entry].callerLink.addr(), s.Request)
}
