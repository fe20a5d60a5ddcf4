package managed

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// Limits of the listeners.
const (
	callerMaxBody = 16 << 20
	peerMaxBody   = 4 << 20
	// readLimit is the longest time in which a client sends a request, whatever its size:
	// callerMaxBody takes as long at 5 Mbit/s.
	readLimit = 30 * time.Second
	// writeTimeout ends a response to a peer that stopped reading.
	writeTimeout = 20 * time.Second
)

// listen listens on addr. All listeners of a process have one budget.
func listen(name, addr string, budget *clientbudget.Budget, o peer.ServerOptions) (*server.Hertz, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	o.WriteTimeout, o.ReadLimit, o.Budget = writeTimeout, readLimit, budget
	return peer.NewServer(listener, o), nil
}

// startServers runs servers in the background until the process ends.
func startServers(logger *zap.Logger, servers ...*server.Hertz) {
	for _, s := range servers {
		go func() {
			if err := s.Run(); err != nil {
				logger.Error("a listener has ended", telemetry.Err(err))
			}
		}()
	}
}

// newClientBudget returns the budget of all listeners of a process.
func newClientBudget(memoryMB int) (*clientbudget.Budget, error) {
	openFiles, err := clientbudget.OpenFiles()
	if err != nil {
		return nil, err
	}
	return clientbudget.New(clientbudget.LimitsOf(memoryMB, openFiles)), nil
}

// newOperatorServer listens on addr and serves metrics and health checks.
func newOperatorServer(addr string, budget *clientbudget.Budget, set *metrics.Set, ready func() (bool, string)) (*server.Hertz, error) {
	h, err := listen("operators", addr, budget, peer.ServerOptions{MaxBodyBytes: peerMaxBody})
	if err != nil {
		return nil, err
	}
	telemetry.Register(h.Engine, set, ready)
	return h, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
