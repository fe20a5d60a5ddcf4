package dev

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestFirstRequests guards against a fleet that says that it is ready and
// refuses the requests that are sent right then.
func TestFirstRequests(t *testing.T) {
	check := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	f, err := Start(ctx, zap.NewNop())
	check.NoErr(err)
	for range 5 {
		var out bytes.Buffer
		check.NoErr(f.SendRequest(ctx, &out))
		check.True(out.Len() > 1)
	}
	cancel()
	check.NoErr(f.Wait())
}
