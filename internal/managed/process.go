package managed

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/platform"
)

// Process is what both roles have in common.
type Process struct {
	Settings settings.Managed
	Logger   *zap.Logger
	Level    zap.AtomicLevel
	// LoadSettings reads the settings anew.
	LoadSettings func() (settings.Managed, error)
}

// settingsPoll is how often the settings are read; the platform may change the
// file without a signal.
const settingsPoll = 5 * time.Second

// followSettings applies changed settings until ctx ends. The addresses of the
// process itself and its bounds are those of its start.
func (p *Process) followSettings(ctx context.Context, store *platform.Store) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	current := p.Settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			p.Logger.Info("reload asked for")
		case <-t.C:
		}
		current = p.reload(current, store)
	}
}

// reload returns the settings in force. A file that cannot be read or checked
// changes nothing.
func (p *Process) reload(current settings.Managed, store *platform.Store) settings.Managed {
	s, err := p.LoadSettings()
	if err != nil {
		p.Logger.Error("settings not reloaded", telemetry.Err(err))
		return current
	}
	if s == current {
		return current
	}
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		p.Logger.Error("settings not reloaded", telemetry.Err(err))
		return current
	}
	p.Level.SetLevel(level)
	store.SetAddr(s.StoreAddr)
	p.Logger.Info("settings reloaded", zap.String("store_addr", s.StoreAddr), zap.String("log_level", s.LogLevel),
		zap.Bool("restart_needed", s.PeerAddr() != current.PeerAddr() || s.CallerAddr != current.CallerAddr || s.Bounds != current.Bounds))
	return s
}
