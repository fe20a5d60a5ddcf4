package node

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/lifecycle"
	"github.com/jacinthbend/jacinthbend/internal/peerapi"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
)

// leaveTimeout is the time limit for recording, after a drain, that the
// instance has left.
const leaveTimeout = 5 * time.Second

// process starts and stops the parts that agents and entry instances have in
// common.
type process struct {
	fleet        *fleet
	stateMachine *lifecycle.Machine
	drainTimeout time.Duration
	logger       *zap.Logger
	// peerServer and operatorServer exist in both roles.
	peerServer     *server.Hertz
	operatorServer *server.Hertz
	listeners      []*listener
	// background holds the tasks that run from the start until after the drain.
	background []func(ctx context.Context)
}

func newProcess(f *fleet, stateMachine *lifecycle.Machine, metricSet *metrics.Set, s settings.Common, logger *zap.Logger) (*process, error) {
	p := &process{fleet: f, stateMachine: stateMachine, drainTimeout: s.DrainTimeout(), logger: logger}
	var err error
	if p.peerServer, err = p.listen("peers", s.PeerAddr, peerMaxBodyBytes); err != nil {
		return nil, err
	}
	if p.operatorServer, err = p.listen("operators", s.OperatorAddr, operatorMaxBodyBytes); err != nil {
		return nil, err
	}
	peerapi.RegisterRelay(p.peerServer.Engine, f.Relay())
	telemetry.Register(p.operatorServer.Engine, metricSet, p.ready)
	registerStatus(p.operatorServer.Engine, p.status)
	return p, nil
}

func (p *process) listen(name, addr string, maxBodyBytes int) (*server.Hertz, error) {
	l, err := listen(name, addr, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	p.listeners = append(p.listeners, l)
	return l.server, nil
}

// addBackground adds tasks that run from the start until after the drain.
func (p *process) addBackground(tasks ...func(context.Context)) {
	p.background = append(p.background, tasks...)
}

// run joins the fleet, serves until ctx ends and then drains. The background
// tasks end only after the drain, because running requests need them.
func (p *process) run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, l := range p.listeners {
		l.start()
	}
	p.fleet.start(background)
	for _, task := range p.background {
		go task(background)
	}
	if err := p.fleet.waitJoined(ctx); err != nil {
		return p.stopUnjoined(err)
	}
	if err := p.stateMachine.Serve(); err != nil {
		return err
	}
	p.logger.Info("serving", zap.String("incarnation", p.fleet.self.Incarnation()), zap.String("role", string(p.fleet.role)))
	<-ctx.Done()
	return p.drain()
}

// stopUnjoined ends a process that was stopped before it had joined the fleet.
func (p *process) stopUnjoined(err error) error {
	p.logger.Warn("stopped before joining the fleet", telemetry.Err(err))
	p.stopListeners()
	return nil
}

func (p *process) drain() error {
	p.logger.Info("draining", zap.Int64("running", p.stateMachine.Running()))
	ctx, cancel := context.WithTimeout(context.Background(), p.drainTimeout)
	defer cancel()
	// A second signal ends the drain early.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	remaining, err := p.stateMachine.Drain(ctx)
	if err != nil {
		return err
	}
	if remaining > 0 {
		p.logger.Warn("drain ended early; aborting the requests that still run",
			zap.Int64("running", remaining), zap.Bool("timeout", errors.Is(ctx.Err(), context.DeadlineExceeded)))
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := p.fleet.leave(leaveCtx); err != nil {
		p.logger.Warn("failed to record that this instance leaves; other instances will detect its silence", telemetry.Err(err))
	}
	p.stopListeners()
	return p.stateMachine.Stop()
}

func (p *process) stopListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), listenerStopTimeout)
	defer cancel()
	for _, l := range p.listeners {
		l.stop(ctx)
	}
}

func (p *process) report(err error) { p.logger.Error("cannot start incarnation", telemetry.Err(err)) }

// ready returns the result for /readyz: whether the instance is ready, and if
// not, the reason.
func (p *process) ready() (bool, string) {
	if s := p.stateMachine.State(); s != lifecycle.Serving {
		return false, string(s)
	}
	if kind := p.fleet.Refusal(); kind != "" {
		return false, string(kind)
	}
	return true, ""
}

// status returns the response to /status.
func (p *process) status() Status {
	v := p.fleet.View()
	return Status{
		Instance:          p.fleet.self.Instance,
		Incarnation:       p.fleet.self.Incarnation(),
		State:             p.stateMachine.State(),
		Offset:            v.Offset,
		ConfigVersion:     v.ConfigVersion,
		ConfigSinceUnixMS: p.fleet.configChange.sinceMS.Load(),
		ViewAgeMS:         p.fleet.Age().Milliseconds(),
		MayWork:           p.fleet.MayWork(),
		Running:           p.stateMachine.Running(),
		Members:           v.Members.Len(),
	}
}
