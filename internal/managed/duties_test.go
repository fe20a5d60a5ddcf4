package managed

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// TestUsageReports guards against usage reports that are missing, late or inexact on a fleet without
// faults, and against calls to the store that grow with the number of instances.
func TestUsageReports(t *testing.T) {
	const windowS, lateS = 2, 6
	check := is.New(t)
	cloud := platformtest.NewCloud(platformtest.CloudOptions{Lease: time.Second, Thaw: 300 * time.Millisecond})
	addr := startFakeServer(t, cloud)
	c := newCrashCluster(t, 3, 1, func(s *settings.Managed) {
		s.Duties = settings.Duties{Addr: addr, Names: []string{settings.DutyUsage}, CallsPerS: 10}
		s.Bounds.UsageWindowS, s.Bounds.UsageLateS, s.Bounds.DutyLeaseMS = windowS, lateS, 1000
	})
	window := func(at time.Time) int64 { return at.Unix() / windowS }
	truth := make(map[int64]int64)
	first := window(time.Now()) + 1
	for i := 0; window(time.Now()) < first+3; i++ {
		if resp := c.send(i%3, "5050"); resp.Err == nil && resp.Status == http.StatusOK {
			truth[window(time.Now())]++
		}
	}
	c.eventually("the last window reported", func() bool { _, ok := cloud.Report(first + 2); return ok })
	for w := first; w < first+3; w++ {
		report, ok := cloud.Report(w)
		check.True(ok)
		check.True(report.At.Before(time.Unix((w+1)*windowS+lateS, 0))) // in time
		// The answer of a request that began near the end of a window comes in the next one.
		diff := report.Counts["t"] - truth[w]
		check.True(diff >= -2 && diff <= 2)
	}
	check.Equal(len(cloud.Violations()), 0)
	check.True(c.store.Records(platformtest.DutyTopic) <= cloud.Reports()+2) // one record a window and the claims
}
