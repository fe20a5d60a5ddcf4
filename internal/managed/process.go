package managed

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthbend/jacinthbend/internal/background"
	"github.com/jacinthbend/jacinthbend/internal/settings"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/platform"
)

// Process holds what both roles need.
type Process struct {
	Settings settings.Managed
	Logger   *zap.Logger
	Level    zap.AtomicLevel
	// LoadSettings reads the settings again.
	LoadSettings func() (settings.Managed, error)
	// Reload receives a value when the settings may have changed; it may be nil. It is open from
	// before the settings are read first, so that no change is missed.
	Reload <-chan os.Signal
}

// run runs a job in the background until ctx ends.
func (p *Process) run(ctx context.Context, job string, f func(context.Context)) {
	go background.Run(ctx, p.Logger, job, f)
}

// settingsPollInterval is how often the settings are read. The platform may
// change the file without sending a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings applies changed settings until ctx ends. Changes to the addresses
// on which the process listens and to the bounds take effect after a restart.
func (p *Process) watchSettings(ctx context.Context, store *platform.Store) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	current := p.Settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.Logger.Info("received SIGHUP, reloading settings")
		case <-t.C:
		}
		current = p.reload(current, store)
	}
}

// reload reads the settings, applies them if they changed, and returns the
// settings in force. Unreadable or invalid settings change nothing.
func (p *Process) reload(current settings.Managed, store *platform.Store) settings.Managed {
	s, err := p.LoadSettings()
	if err != nil {
		p.Logger.Error("settings not reloaded", telemetry.Err(err))
		return current
	}
	if reflect.DeepEqual(s, current) {
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
