package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// reloadSignal receives SIGHUP from its creation until the process ends, so that no moment is left
// in which the signal has its default action, which ends the process. It keeps one signal that
// arrives before anybody receives from it.
func reloadSignal() <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}

// signalContext returns a context that is cancelled by the first SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// hangupContext returns a context that is also cancelled when the terminal closes, unless the
// command was started to outlive it.
func hangupContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if signal.Ignored(syscall.SIGHUP) {
		return context.WithCancel(ctx)
	}
	return signal.NotifyContext(ctx, syscall.SIGHUP)
}
