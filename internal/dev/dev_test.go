package dev

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
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

// TestSlowStart guards against a fleet that gives up while it is still starting, or whose test
// requests spend the budget of the user's team.
func TestSlowStart(t *testing.T) {
	check := is.New(t)
	const interval = 20 * time.Millisecond
	core, logs := observer.New(zapcore.WarnLevel)
	var requests atomic.Int64
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		check.True(!strings.Contains(r.Header.Get("Authorization"), demoKey))
		requests.Add(1)
		if logs.Len() < 3 {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, err := io.WriteString(w, "data: [DONE]\n\n")
		check.NoErr(err)
	}))
	defer entry.Close()
	f := &Fleet{CallerAddr: entry.Listener.Addr().String(), Key: demoKey, Model: demoModel}
	check.NoErr(f.waitUntilServing(context.Background(), interval, zap.New(core)))
	check.True(requests.Load() > 3)
	check.Equal(logs.Len(), 3)
}
