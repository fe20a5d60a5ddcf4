package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestColdShare guards against a cold upstream that gets more than it bears
// from all instances together, in any second, however many they are (H8).
func TestColdShare(t *testing.T) {
	const bound = 6.9*1.5 + 5
	for _, entries := range []int{1, 4, 12, 13, 28, 100} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			v := testView(1, entries)
			v.Upstreams["i-0"].ColdLeftMS = 60000
			pools := make([]*Pool, entries)
			for i := range pools {
				pools[i] = newPoolOf(fmt.Sprintf("entry-%d", i), v)
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

// TestColdWait guards against a wait after which an instance still has no turn.
func TestColdWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(1, 100)
		v.Upstreams["i-0"].ColdLeftMS = 60000
		for i := range 100 {
			p := newPoolOf(fmt.Sprintf("entry-%d", i), v)
			c, shortage := p.Pick(engineQuery("m", ""))
			if c == nil {
				check.True(shortage.After > 0)
				time.Sleep(shortage.After)
				c, _ = p.Pick(engineQuery("m", ""))
			}
			check.True(c != nil)
		}
	})
}

// TestColdBurst guards against requests that were chosen for one upstream
// before a load and are all sent when it ends.
func TestColdBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(1, 4)
		v.Upstreams["i-0"].ColdLeftMS = 30000
		p := newPool(v)
		c, _ := p.Pick(engineQuery("m", ""))
		begun := 0
		for range 30 {
			if ticket, _ := p.Begin(c, engineQuery("m", "")); ticket != nil {
				begun++
			}
		}
		check.Equal(begun, 3) // 0.8 of 15.35 for four instances
	})
}

// TestColdAgain guards against a full load for an upstream that may have
// restarted: its data centre was out, or it could not be reached.
func TestColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		v := testView(1, 1)
		p := newPool(v)
		out := testView(1, 1)
		out.Evacuated["z0"] = true
		p.Update(out)
		p.Update(v)
		check.True(p.states["i-0"].cold(time.Now()))
		time.Sleep(coldAfterReturn)
		check.True(!p.states["i-0"].cold(time.Now()))
	})
}
