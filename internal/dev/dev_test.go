package dev

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestFirstRequests guards against a fleet that reports that it is ready and then
// refuses the first requests.
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
