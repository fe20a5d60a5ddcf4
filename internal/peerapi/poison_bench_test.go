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

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// noView is an instance that has no view yet.
type noView struct{}

func (noView) View() *fold.View { return nil }

// counted forwards connections to a server and counts the bytes both ways.
type counted struct{ there, back atomic.Int64 }

func (c *counted) serve(ln net.Listener, target string) {
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
		go func() { _, _ = io.Copy(out, io.TeeReader(in, counter{&c.there})) }()
		go func() { _, _ = io.Copy(in, io.TeeReader(out, counter{&c.back})) }()
	}
}

type counter struct{ n *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkNoticeBytes measures the bytes of the same call on the wire, with headers.
func BenchmarkNoticeBytes(b *testing.B) {
	check := is.New(b)
	addr := noticeServer(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	defer func() { _ = ln.Close() }()
	var c counted
	go c.serve(ln, addr)
	client, err := NewClient()
	check.NoErr(err)
	calls := 0
	for b.Loop() {
		check.NoErr(client.Notice(context.Background(), ln.Addr().String(), notice))
		calls++
	}
	b.ReportMetric(float64(c.there.Load())/float64(calls), "bytes-there/op")
	b.ReportMetric(float64(c.back.Load())/float64(calls), "bytes-back/op")
}

// notice has a digest of usual length.
var notice = poison.CrashNotice{PoisonCrash: record.PoisonCrash{CrashID: "c", Digests: []string{strings.Repeat("d", 64)}}}

// noticeServer serves notices and returns its address once it answers.
func noticeServer(b *testing.B) string {
	check := is.New(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	known, err := poison.NewCrashTable(noView{})
	check.NoErr(err)
	RegisterNotices(h.Engine, known)
	go func() { _ = h.Run() }()
	b.Cleanup(func() { _ = h.Close() })
	c, err := NewClient()
	check.NoErr(err)
	// The server may not listen yet.
	for end := time.Now().Add(5 * time.Second); c.Notice(context.Background(), ln.Addr().String(), notice) != nil; {
		check.True(time.Now().Before(end))
	}
	return ln.Addr().String()
}

// BenchmarkNotice measures one call that tells a peer of a request: the least
// that a record before dispatch would cost each request at sender and receiver
// together. docs/PROOFS.md weighs it against the bound on lost upstreams.
func BenchmarkNotice(b *testing.B) {
	check := is.New(b)
	addr := noticeServer(b)
	c, err := NewClient()
	check.NoErr(err)
	for b.Loop() {
		check.NoErr(c.Notice(context.Background(), addr, notice))
	}
}
