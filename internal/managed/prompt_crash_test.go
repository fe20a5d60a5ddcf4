package managed

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// contactTime is the platform's shortest time between a change and its effect at all
// instances that reach the store.
const contactTime = 3 * time.Second

// TestPromptPartCrashesOneEngineAfterTheOther guards against a part of prompts that ends
// every engine that begins to answer it, at all entry instances and in requests of which
// no two are alike: more than three of them reach engines later than contactTime after the
// fifth engine ended, or sound requests suffer for what they share with them.
func TestPromptPartCrashesOneEngineAfterTheOther(t *testing.T) {
	check := is.New(t)
	c := newCrashCluster(t, 3, 8)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); c.traffic(stop) }()
	start := time.Now()
	<-time.After(2*contactTime + time.Second)
	close(stop)
	<-done
	arrivals, crashes := c.history()
	t.Logf("%d requests with the part arrived, %d engines ended", len(arrivals), len(crashes))
	check.True(len(crashes) > 0)
	if len(crashes) >= 5 {
		late := 0
		for _, at := range arrivals {
			if at.After(crashes[4].Add(contactTime)) {
				late++
			}
		}
		t.Logf("%d arrived later than %s after the fifth end", late, contactTime)
		check.True(late <= 3) // requests with the part after they should be known
	}
	share, n := c.servedShare(start.Add(contactTime))
	t.Logf("served %.2f of %d sound requests", share, n)
	check.True(n >= 20 && share >= 0.5)
}

// TestCrashingPartAfterRestart guards against entry instances that send a part on again
// which crashed engines before they restarted, all at once, and against one that does not
// recognise a part while the store is out.
func TestCrashingPartAfterRestart(t *testing.T) {
	check := is.New(t)
	c := newCrashCluster(t, 2, 6)
	_ = c.store.SetDown(true)
	c.eventually("part refused by one instance during the outage", func() bool {
		resp := c.send(0, crashingPart)
		return resp.Err == nil && resp.Status == 503 && strings.Contains(resp.Body, "content_quarantined") && resp.Header.Get("Retry-After") != ""
	})
	_ = c.store.SetDown(false)
	c.eventually("part refused by the other instance", func() bool {
		return strings.Contains(c.send(1, crashingPart).Body, "content_quarantined")
	})
	arrivals, _ := c.history()
	before := len(arrivals)
	for i := range c.entries {
		c.stops[i]()
	}
	c.wg.Wait()
	// The reports arrive well after everything else that an instance needs.
	c.store.Delay(platformtest.CrashTopic, 300*time.Millisecond)
	for i := range c.entries {
		c.entries[i].FirstStart = false
		c.startEntry(i)
	}
	for i := range c.entries {
		check.True(strings.Contains(c.send(i, crashingPart).Body, "content_quarantined"))
		check.Equal(c.send(i, "5011").Status, 200)
	}
	arrivals, _ = c.history()
	check.Equal(len(arrivals), before)
}

// TestLostCrashReport guards against instances that go on sending a request which has crashed
// three engines, since the answers with the reports of the crashes were lost.
func TestLostCrashReport(t *testing.T) {
	check := is.New(t)
	const instances = 6
	c := newCrashCluster(t, instances, 8)
	// Every instance that reads the reports waits for new ones by then.
	<-time.After(500 * time.Millisecond)
	c.store.LoseAnswers(platformtest.CrashTopic)
	c.eventually("three engines crashed", func() bool {
		c.sendAgain(0)
		_, crashes := c.history()
		return len(crashes) >= 3
	})
	before, _ := c.history()
	<-time.After(contactTime)
	for range 2 {
		for entry := 1; entry < instances; entry++ {
			c.sendAgain(entry)
		}
	}
	arrivals, _ := c.history()
	t.Logf("%d requests arrived later than %s after the third crash", len(arrivals)-len(before), contactTime)
	check.True(len(arrivals)-len(before) <= 3)
}

// TestCrashReportsDuringOutage guards against instances that each crash three engines with one
// request while the store is out, since none knows of the others' crashes.
func TestCrashReportsDuringOutage(t *testing.T) {
	check := is.New(t)
	const instances = 5
	c := newCrashCluster(t, instances, 8)
	// All instances know each other by then.
	<-time.After(2 * time.Second)
	_ = c.store.SetDown(true)
	for entry := range 3 {
		c.eventually("an engine crashed by each of three instances", func() bool {
			c.sendAgain(entry)
			_, crashes := c.history()
			return len(crashes) > entry
		})
	}
	<-time.After(contactTime)
	before, _ := c.history()
	for entry := range instances {
		check.True(strings.Contains(c.sendAgain(entry).Body, "content_quarantined"))
	}
	after, _ := c.history()
	check.Equal(len(after), len(before))
	// The store gets the reports once it is back.
	_ = c.store.SetDown(false)
	c.eventually("reports in the store", func() bool { return c.store.Keys(platformtest.CrashTopic) >= 3 })
}
