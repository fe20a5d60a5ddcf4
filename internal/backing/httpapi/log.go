package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// readMargin is added to the read timeout of the HTTP client, so that the deadline
// of a log read (its long-poll wait plus the call timeout) always expires first.
const readMargin = 2 * time.Second

// Log is the HTTP client of the platform log.
type Log struct {
	addr    string
	timeout time.Duration
	client  *peer.Client
}

var _ backing.Log = (*Log)(nil)

// NewLog returns a client of the log at addr (IP:port). timeout bounds appends,
// and reads in addition to their long-poll wait.
func NewLog(addr string, timeout time.Duration) (*Log, error) {
	c, err := peer.NewClient(timeout + maxReadWait + readMargin)
	if err != nil {
		return nil, err
	}
	return &Log{addr: addr, timeout: timeout, client: c}, nil
}

// maxReadWait bounds the long-poll wait of a read.
const maxReadWait = 30 * time.Second

// Append implements backing.Log.
func (l *Log) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	var resp AppendResponse
	err := l.client.Call(ctx, l.addr, PathAppend, AppendRequest{Stream: stream, Entries: entries}, &resp)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, backing.ErrUnavailable, err)
	}
	return resp.First, nil
}

// Read implements backing.Log.
func (l *Log) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	wait = min(wait, maxReadWait)
	ctx, cancel := context.WithTimeout(ctx, wait+l.timeout)
	defer cancel()
	var resp ReadResponse
	req := ReadRequest{Stream: stream, After: after, Limit: limit, WaitMS: wait.Milliseconds()}
	if err := l.client.Call(ctx, l.addr, PathRead, req, &resp); err != nil {
		return backing.Page{}, fmt.Errorf("read %s: %w: %w", stream, backing.ErrUnavailable, err)
	}
	if resp.Expired {
		return resp.Page, &backing.ExpiredError{Stream: stream, After: after, Oldest: resp.Oldest}
	}
	return resp.Page, nil
}
