package responsetest

import (
	"context"
	"testing"
	"time"
)

const (
	// readTimeout is the deadline of a read.
	readTimeout = 8 * time.Second
	// atOnce is how long a read of an invalid response may take: far above the time to
	// read one on a busy machine, far below readTimeout.
	atOnce = 2 * time.Second
)

// Check checks that read, which sends a request to addr and reads the response, fails at once for
// each invalid response and succeeds for each sound one, also if it is called again. All responses
// carry the given header fields.
func Check(t *testing.T, fields string, read func(ctx context.Context, addr string) error) {
	t.Helper()
	for _, r := range Invalid {
		t.Run("invalid/"+r.Name, func(t *testing.T) {
			addr := Serve(t, func(int) (Response, string) { return r, fields })
			ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
			defer cancel()
			began := time.Now()
			err := read(ctx, addr)
			if err == nil {
				t.Errorf("taken for a response: %q", r.Bytes(fields))
			}
			if took := time.Since(began); took > atOnce {
				t.Errorf("took %v to fail: %v", took, err)
			}
		})
	}
	for _, r := range Sound {
		t.Run("sound/"+r.Name, func(t *testing.T) {
			addr := Serve(t, func(int) (Response, string) { return r, fields })
			ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
			defer cancel()
			for range 3 {
				if err := read(ctx, addr); err != nil {
					t.Errorf("not accepted: %q: %v", r.Bytes(fields), err)
				}
			}
		})
	}
}
