package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// maxRecordBytes is the longest record that the platform's store takes.
const maxRecordBytes = 256 << 10

// TestReportTooLongForStore guards against reports that the store does not take, so that no other
// instance learns what crashes upstreams: after many crashes under load, of upstreams with
// many requests.
func TestReportTooLongForStore(t *testing.T) {
	const crashes, requests = maxCrashes, 64
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table, other := NewTable(), NewTable()
		harmful := request("harmful", "own")
		for i := range crashes {
			id := fmt.Sprint("upstream-", i, "/1759734000000")
			for j := range requests {
				table.RecordCrash(id, false, false, request(fmt.Sprintf("%016x", i*requests+j), fmt.Sprintf("%08x", i*requests+j), fmt.Sprintf("%032x", i*requests+j)))
			}
			if i%(crashes/3) == 0 {
				table.RecordCrash(id, false, false, harmful)
			}
			time.Sleep(100 * time.Millisecond)
		}
		report := table.Report()
		data, err := json.Marshal(report)
		check.NoErr(err)
		t.Logf("%d bytes", len(data))
		check.True(len(data) <= maxRecordBytes)
		check.Equal(len(report.Crashes), crashes)
		other.SetReport("entry-1", report)
		settle()
		check.True(quarantined(other, harmful))
	})
}

// TestDigestCrowdedOutByParts guards against a request that is not recognised, since the parts of
// others which ran at the same upstreams take all the room for suspects.
func TestDigestCrowdedOutByParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		harmful := request("harmful")
		for i := range 3 {
			id := fmt.Sprint("u", i)
			for j := range 2 * maxSuspects {
				table.RecordCrash(id, false, false, request(fmt.Sprint("other", i), fmt.Sprint(i, "-", j)))
			}
			table.RecordCrash(id, false, false, harmful)
		}
		settle()
		check.True(quarantined(table, harmful))
	})
}
