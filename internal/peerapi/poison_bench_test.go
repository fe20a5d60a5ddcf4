package peerapi

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// noView is an instance that has no view yet.
type noView struct{}

func (noView) View() *fold.View { return nil }

// BenchmarkNotice measures one call that tells a peer of a request: the least
// that a record before dispatch would cost each request at sender and receiver
// together. docs/PROOFS.md weighs it against the bound on lost upstreams.
func BenchmarkNotice(b *testing.B) {
	check := is.New(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	known, err := poison.NewKnown(noView{})
	check.NoErr(err)
	RegisterNotices(h.Engine, known)
	go func() { _ = h.Run() }()
	b.Cleanup(func() { _ = h.Close() })
	c, err := NewClient()
	check.NoErr(err)
	n := poison.Notice{PoisonCrash: record.PoisonCrash{CrashID: "c", Digests: []string{"d"}}}
	// The server may not listen yet.
	for end := time.Now().Add(5 * time.Second); c.Notice(context.Background(), ln.Addr().String(), n) != nil; {
		check.True(time.Now().Before(end))
	}
	b.ResetTimer()
	for b.Loop() {
		check.NoErr(c.Notice(context.Background(), ln.Addr().String(), n))
	}
}
