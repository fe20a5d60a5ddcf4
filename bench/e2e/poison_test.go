package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/bench/fleet"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// TestPoisonRequest checks F10: a request crashes every engine that runs it, and
// its caller resends it through every entry instance. It must crash at most two
// engines in all, and must then be refused as quarantined.
func TestPoisonRequest(t *testing.T) {
	const marker = "crash-this-engine"
	f := start(t, func(o *fleet.Options) {
		o.Engines = 3
		o.Engine.CrashMarker = marker
	})
	body := completion("saga", 4, true)
	body["prompt"] = marker
	var last answer
	quarantined := func() bool {
		for _, p := range f.Entries {
			last = f.post(p, "/v1/completions", body, map[string]string{"X-Request-Deadline-Ms": "20000"})
		}
		return last.refusal.Kind == errkind.RequestQuarantined
	}
	f.eventually(2*time.Minute, "the request is quarantined", quarantined)
	f.True(quarantined())
	var crashes int64
	for _, e := range f.Engines {
		crashes += e.Crashes()
	}
	f.True(crashes >= 1 && crashes <= 2)
	f.eventually(startTimeout, "other requests are served", func() bool {
		return f.post(f.Entries[0], "/v1/completions", completion("saga", 1, false), nil).status == http.StatusOK
	})
}
