package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// Receipt is the response body of a Service.
type Receipt struct {
	Receipt        string `json:"receipt"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Execution is 1 for the first execution with this key, 2 for the second.
	Execution int `json:"execution"`
}

// Service is a fake plain service (an upstream that is no model engine). It counts
// its executions per idempotency key.
type Service struct {
	server *server.Hertz
	addr   string
	delay  time.Duration

	mu         sync.Mutex
	executions map[string]int
	total      int
}

// NewService returns a service that serves on ln and takes delay for each call.
func NewService(ln net.Listener, delay time.Duration) *Service {
	s := &Service{addr: ln.Addr().String(), delay: delay, executions: make(map[string]int)}
	s.server = peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: platformMaxBody, WriteTimeout: platformWriteTimeout})
	peer.Handle(s.server.Engine, engine.PathMemoryState, s.handleMemoryState)
	peer.Handle(s.server.Engine, engine.PathReport, s.handleReport)
	s.server.NoRoute(s.serve)
	return s
}

// Addr returns the listen address, IP:port.
func (s *Service) Addr() string { return s.addr }

// Run serves until Shutdown is called.
func (s *Service) Run() error { return s.server.Run() }

// Shutdown stops the server.
func (s *Service) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Executions returns the number of executions with key and of all executions.
func (s *Service) Executions(key string) (ofKey, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key], s.total
}

func (s *Service) serve(_ context.Context, c *app.RequestContext) {
	key := c.Request.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.total++
	s.executions[key]++
	n := s.executions[key]
	s.mu.Unlock()
	time.Sleep(s.delay)
	peer.WriteJSON(c, consts.StatusOK, Receipt{Receipt: "r-" + key, IdempotencyKey: key, Execution: n})
}

func (s *Service) handleMemoryState(context.Context, engine.Empty) (engine.MemoryState, error) {
	return engine.MemoryState{BootID: s.addr}, nil
}

func (s *Service) handleReport(context.Context, engine.Empty) (engine.Report, error) {
	return engine.Report{BootID: s.addr}, nil
}
