package peerapi

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// emptyReplica is an instance that has no view yet.
type emptyReplica struct{}

func (emptyReplica) View() *controlstate.View { return nil }

// countingProxy forwards connections to a server and counts the bytes in both
// directions.
type countingProxy struct{ sent, received atomic.Int64 }

func (c *countingProxy) serve(ln net.Listener, target string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go func() { _, _ = io.Copy(out, io.TeeReader(in, byteCounter{&c.sent})) }()
		go func() { _, _ = io.Copy(in, io.TeeReader(out, byteCounter{&c.received})) }()
	}
}

type byteCounter struct{ n *atomic.Int64 }

func (c byteCounter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkNoticeBytes measures the bytes of the call of BenchmarkNotice on the
// wire, including headers.
func BenchmarkNoticeBytes(b *testing.B) {
	check := is.New(b)
	addr := noticeServer(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer func() { _ = ln.Close() }()
	var c countingProxy
	go c.serve(ln, addr)
	client, err := NewClient()
	check.NoErr(err)
	calls := 0
	for b.Loop() {
		check.NoErr(client.Notice(context.Background(), ln.Addr().String(), notice))
		calls++
	}
	b.ReportMetric(float64(c.sent.Load())/float64(calls), "bytes-there/op")
	b.ReportMetric(float64(c.received.Load())/float64(calls), "bytes-back/op")
}

// notice carries a digest of typical length.
var notice = poison.CrashNotice{PoisonCrash: record.PoisonCrash{CrashID: "c", Digests: []string{strings.Repeat("d", 64)}}}

// noticeServer starts a server that handles notices, waits until it responds,
// and returns its address.
func noticeServer(b *testing.B) string {
	check := is.New(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	known, err := poison.NewCrashTable(emptyReplica{})
	check.NoErr(err)
	RegisterNotices(h.Engine, known)
	go func() { _ = h.Run() }()
	b.Cleanup(func() { _ = h.Close() })
	c, err := NewClient()
	check.NoErr(err)
	// The server may not be listening yet.
	for deadline := time.Now().Add(5 * time.Second); c.Notice(context.Background(), ln.Addr().String(), notice) != nil; {
		check.True(time.Now().Before(deadline))
	}
	return ln.Addr().String()
}

// BenchmarkNotice measures one call that notifies a peer of a request. This is
// the minimum cost per request, for sender and receiver together, of recording
// requests before dispatch. docs/PROOFS.md compares it with the limit on lost
// upstreams.
func BenchmarkNotice(b *testing.B) {
	check := is.New(b)
	addr := noticeServer(b)
	c, err := NewClient()
	check.NoErr(err)
	for b.Loop() {
		check.NoErr(c.Notice(context.Background(), addr, notice))
	}
}
