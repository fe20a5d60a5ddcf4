package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestColdRateLimit guards against a cold upstream that gets more requests in
// any second from all instances together than its limit, whatever the number of
// instances (H8).
func TestColdRateLimit(t *testing.T) {
	const bound = 6.9*1.5 + 5
	for _, entries := range []int{1, 4, 12, 13, 28, 100} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			v := testView(1, entries)
			v.Upstreams["i-0"].ColdLeftMS = 60000
			pools := make([]*Pool, entries)
			for i := range pools {
				pools[i] = newPoolFor(fmt.Sprintf("entry-%d", i), v)
			}
			var sent []time.Time
			for range 600 {
				time.Sleep(20 * time.Millisecond)
				for _, p := range pools {
					c, _ := p.Pick(engineQuery("m", ""))
					if c == nil {
						continue
					}
					if ticket, _ := p.Begin(c, engineQuery("m", "")); ticket != nil {
						sent = append(sent, time.Now())
					}
				}
			}
			check.True(len(sent) > 30) // the upstream is not left idle for 12 s
			first := 0
			for i, at := range sent {
				for at.Sub(sent[first]) >= time.Second {
					first++
				}
				check.True(float64(i-first+1) <= bound)
			}
		})
	}
}

// TestColdWait guards against a RetryAfter that ends before the next time slot of
// the instance begins.
func TestColdWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(1, 100)
		v.Upstreams["i-0"].ColdLeftMS = 60000
		for i := range 100 {
			p := newPoolFor(fmt.Sprintf("entry-%d", i), v)
			c, unavailable := p.Pick(engineQuery("m", ""))
			if c == nil {
				check.True(unavailable.RetryAfter() > 0)
				time.Sleep(unavailable.RetryAfter())
				c, _ = p.Pick(engineQuery("m", ""))
			}
			check.True(c != nil)
		}
	})
}

// TestColdBurstAfterLoad guards against a burst at a cold upstream: several
// requests chose it, waited for the same load, and are all sent when the load
// ends.
func TestColdBurstAfterLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(1, 4)
		v.Upstreams["i-0"].ColdLeftMS = 30000
		p := newPool(v)
		c, _ := p.Pick(engineQuery("m", ""))
		started := 0
		for range 30 {
			if ticket, _ := p.Begin(c, engineQuery("m", "")); ticket != nil {
				started++
			}
		}
		check.Equal(started, 3) // 0.8 of 15.35 for four instances
	})
}

// TestColdAfterOutage guards against full load on an upstream that may have
// restarted because its data centre was evacuated or it was unreachable.
func TestColdAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(1, 1)
		p := newPool(v)
		evacuated := testView(1, 1)
		evacuated.Evacuated["z0"] = true
		p.Update(evacuated)
		p.Update(v)
		check.True(p.states["i-0"].cold(time.Now()))
		time.Sleep(assumedColdTime)
		check.True(!p.states["i-0"].cold(time.Now()))
	})
}
