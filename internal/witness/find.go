package witness

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

const (
	// findTimeout limits how long a start waits for witnesses. Those in other data centres answer
	// within some 10 ms.
	findTimeout = 300 * time.Millisecond
	// findWidth is the number of candidates that a start asks at once: twice a set, since the earlier
	// start may have replaced witnesses that did not answer.
	findWidth = 2 * setSize
)

// find asks witnesses for the records of earlier starts of an instance. began is when this start
// began, on clock; earlier starts had ended by then.
func find(ctx context.Context, instance string, members map[string]fleet.Member, transport Transport, clock Clock, began time.Duration) Earlier {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type result struct {
		name string
		answer
		err error
	}
	results := make(chan result, len(members))
	asked, running := make(map[string]bool), 0
	ask := func(name string) {
		m, known := members[name]
		if asked[name] || !known {
			return
		}
		asked[name] = true
		running++
		background.Go(zap.L(), "read from a witness", func() {
			r := result{name: name, answer: answer{sinceStart: clock() - began}}
			r.ReadResponse, r.err = transport.Read(ctx, m.Addr, ReadRequest{Instance: instance})
			results <- r
		})
	}
	candidates := Candidates(instance, members)
	var own []string
	for i, m := range candidates[:min(findWidth, len(candidates))] {
		if i < setSize {
			own = append(own, m.Name)
		}
		ask(m.Name)
	}
	answers := make(map[string]answer)
	for running > 0 {
		select {
		case <-ctx.Done():
			return decide(answers, own)
		case r := <-results:
			running--
			if r.err != nil {
				continue
			}
			answers[r.name] = r.answer
			for _, name := range r.names(func(name string) bool { return asked[name] }) {
				ask(name)
			}
			if e := decide(answers, own); e.Known {
				return e
			}
		}
	}
	return decide(answers, own)
}
