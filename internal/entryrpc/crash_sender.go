package entryrpc

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
)

const (
	// crashReportTimeout is several round trips within a region.
	crashReportTimeout = 300 * time.Millisecond
	// maxCrashReportCalls bounds the calls that run at the same time.
	maxCrashReportCalls = 8
)

// CrashSender sends the reports of one instance to the others.
type CrashSender struct {
	client *Client

	mu sync.Mutex
	// sent has the number of the last report that an instance took, by address.
	sent map[string]int64
}

// NewCrashSender returns a sender that has sent nothing yet.
func NewCrashSender(c *Client) *CrashSender {
	return &CrashSender{client: c, sent: make(map[string]int64)}
}

// Send sends r to all other entry instances that have not taken it yet, and returns how many
// have not taken it then.
func (s *CrashSender) Send(ctx context.Context, r quarantine.Report) (missing int) {
	v := s.client.view()
	if v == nil {
		return 0
	}
	var calls errgroup.Group
	calls.SetLimit(maxCrashReportCalls)
	addrs := make(map[string]bool)
	for _, m := range v.Members {
		if m.Role != fleet.RoleEntry || m.Name == s.client.self {
			continue
		}
		addrs[m.Addr] = true
		calls.Go(func() error { s.sendTo(ctx, m.Addr, r); return nil })
	}
	_ = calls.Wait() // the calls return no errors
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr := range s.sent {
		if !addrs[addr] {
			delete(s.sent, addr)
		}
	}
	for addr := range addrs {
		if s.sent[addr] < r.Number {
			missing++
		}
	}
	return missing
}

func (s *CrashSender) sendTo(ctx context.Context, addr string, r quarantine.Report) {
	s.mu.Lock()
	known := s.sent[addr] >= r.Number
	s.mu.Unlock()
	if known {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	var resp crashReportResponse
	if err := s.client.peers.Call(callCtx, addr, pathCrash, crashReport{From: s.client.self, Report: r}, &resp); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[addr] = max(s.sent[addr], r.Number)
}
