package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// Seeds with the remainder harmfulRemainder modulo harmfulOneIn send requests with a part in
// their prompts that crashes every engine, beside the faults.
const (
	harmfulOneIn, harmfulRemainder = 5, 3

	// sharedPart is the first part of all prompts, harmfulPart the one that crashes engines.
	sharedPart, harmfulPart = "5a5a", "bad0"
	harmfulInterval         = 120 * time.Millisecond
	harmfulDowntime         = 400 * time.Millisecond
	// contactTime is the platform's time between the fifth crash and the moment from which
	// at most maxLateHarmful requests with the part may reach engines.
	contactTime    = 3 * time.Second
	maxLateHarmful = 3
)

// hasHarmfulPart reports whether the seed sends such requests. Seeds with planned operations
// only do not: a crash may lose requests.
func hasHarmfulPart(seed uint64) bool {
	return seed%harmfulOneIn == harmfulRemainder && seed%plannedOneIn != 0
}

// promptOf returns the parts of a request's prompt: the shared one, one that some requests
// share, and its own.
func promptOf(middle, id string) string {
	return fmt.Sprintf("%s:4,%s:3,%x:2", sharedPart, middle, id)
}

// sendHarmful sends requests with the harmful part until ctx ends.
func (tb *testbed) sendHarmful(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, callerCount))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(harmfulInterval)
		entry, ok := tb.pickReadyEntry(r)
		if !ok {
			continue
		}
		k, id := requestKinds[2], fmt.Sprintf("h%d", n)
		s := &sentRequest{kind: k, entry: entry, team: "large", harmful: true, Request: platformtest.Request{
			ID: id, Method: http.MethodPost, Host: "h.example", Path: k.path, Key: tb.keys[0], Model: k.model, Body: "harmful " + id,
			Prompt: promptOf(harmfulPart, id), TokensIn: 10, TokensOut: streamEvents, Deadline: requestDeadline,
		}}
		tb.checker.recordSend(s)
		go func() {
			sendCtx, cancel := context.WithTimeout(context.Background(), clientTimeout)
			defer cancel()
			t := &http.Transport{DisableKeepAlives: true}
			tb.checker.recordAnswer(s, platformtest.Send(sendCtx, t, tb.entries[entry].callerLink.addr(), s.Request))
		}()
	}
}

// crashUnder crashes an engine that runs a request with the harmful part, and starts it
// again later.
func (tb *testbed) crashUnder(h *upstreamHost, run platformtest.Run) {
	if !strings.Contains(run.Prompt, ","+harmfulPart+":") {
		return
	}
	h.mu.Lock()
	current := h.id == run.Upstream
	h.mu.Unlock()
	if !current {
		return
	}
	id, ok := tb.crashUpstream(h)
	if !ok {
		return
	}
	tb.checker.recordHarm(time.Now())
	time.AfterFunc(harmfulDowntime, func() {
		tb.deregister(id)
		if err := tb.startUpstream(h); err != nil {
			tb.checker.mu.Lock()
			defer tb.checker.mu.Unlock()
			tb.checker.addViolation("soak", "upstream %d: %v", h.index, err)
		}
	})
}

// recordHarm records that an engine crashed under a harmful request.
func (c *checker) recordHarm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.harmed = append(c.harmed, at)
}

// checkHarmful checks that at most maxLateHarmful requests with the harmful part reached
// engines later than contactTime after the fifth crash and the last fault.
func (c *checker) checkHarmful(faultsEnded time.Time) {
	const knownAfter = 5
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.harmed) < knownAfter {
		return
	}
	from := c.harmed[knownAfter-1]
	if faultsEnded.After(from) {
		from = faultsEnded
	}
	late := 0
	for _, s := range c.requests {
		for _, run := range s.runs {
			if s.harmful && run.At.After(from.Add(contactTime)) {
				late++
			}
		}
	}
	if late > maxLateHarmful {
		c.addViolation("harmful part", "%d requests with it ran later than %v after it was known; it crashed %d engines", late, contactTime, len(c.harmed))
	}
}
