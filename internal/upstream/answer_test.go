package upstream

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestUpstreamHiddenByForeignEntry guards against an upstream that is out of use for good because
// another writer's entry names its address and a later start.
func TestUpstreamHiddenByForeignEntry(t *testing.T) {
	check := is.New(t)
	v := testView(1, 1)
	odd := *v.Upstreams["i-0"]
	odd.ID, odd.StartedAtMS = "odd", 5
	v.Upstreams["odd"] = &odd
	p := newPool(v)
	send := func(answeredBy string) string {
		c, _ := p.Pick(engineQuery("m", ""))
		if c == nil {
			return ""
		}
		ticket, _ := p.Begin(c, engineQuery("m", ""))
		outcome := Served
		if answeredBy != c.Upstream.ID {
			ticket.AnsweredBy(fleet.ResponseAttributes{Instance: answeredBy})
			outcome = Replaced
		}
		ticket.End(outcome)
		return c.Upstream.ID
	}
	check.Equal(send("i-0"), "odd")
	for range 3 {
		check.Equal(send("i-0"), "i-0")
		p.Update(v)
	}
	// A start after both.
	again := *v.Upstreams["i-0"]
	again.ID, again.StartedAtMS = "i-1", 9
	v.Upstreams["i-1"] = &again
	p.Update(v)
	check.Equal(send("i-1"), "i-1")
	// An upstream that is not listed at the address changes nothing.
	check.Equal(send("other"), "i-1")
}
