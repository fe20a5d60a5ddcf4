package quarantine

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzReport guards against a report of another process that ends this one, or that is kept
// for ever.
func FuzzReport(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"crashes":null}`, `{"crashes":[{}]}`, `{"crashes":[{"id":"u/1","at_ms":9223372036854775807,"suspects":{"part/a":0}}]}`,
		`{"crashes":[{"id":"u/1","at_ms":-1,"cleared":{"part/a":true}}]}`, `{"crashes":[{"id":"u/1","suspects":{"part/a":-5,"x":1,"request/b":99}}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Report
		if json.Unmarshal(data, &r) != nil {
			return
		}
		for i := range r.Crashes {
			if r.Crashes[i].AtMS == 0 {
				r.Crashes[i].AtMS = time.Now().UnixMilli()
			}
		}
		table := NewTable()
		table.RecordCrash("u/1", false, false, request("d", "a", "b"))
		table.SetReport("other", r)
		table.Restore(r)
		table.RecordComplete(request("d", "a"))
		_, until, ok := table.Check(1, request("d", "a", "b"))
		if ok && until.After(time.Now().Add(3*Retention)) {
			t.Fatalf("refused until %s", until)
		}
		if n := len(table.Report().Crashes); n > 2*maxCrashes {
			t.Fatalf("%d crashes reported", n)
		}
	})
}
