package untrusted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthbend/jacinthbend/platform/platformtest"
)

// TestBurstOfLargeBodies guards against a burst of large bodies of ordinary callers that ends the process.
// A burst of 28 did so on an instance of 284 MB.
func TestBurstOfLargeBodies(t *testing.T) {
	const burst = 28
	body := strings.Repeat("b", 4_000_000)
	var served, refused atomic.Int32
	run(t, []string{callers}, burst, func(_ io.Writer, p *port, index int) {
		r := platformtest.Send(context.Background(), &http.Transport{DisableKeepAlives: true}, p.addr, platformtest.Request{
			ID: fmt.Sprint("burst-", index), Method: http.MethodPost, Host: "h.example", Path: countPath, Key: "key", Body: body, Deadline: 8 * time.Second,
		})
		switch {
		case r.Status == http.StatusOK:
			served.Add(1)
		case r.NotRun:
			refused.Add(1)
		}
	})
	t.Logf("%d of %d served, %d told that they were not run", served.Load(), burst, refused.Load())
}
