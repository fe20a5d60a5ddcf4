// Package cli implements the commands for operators: validating and publishing
// the configuration, API keys, data centres, status and the audit trail. The
// commands access the platform log directly, so they work without any running
// instance.
package cli

import (
	"io"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/operator"
)

// LogFactory returns a client of the platform log at a base URL. Each call of the
// client is limited by the timeout.
type LogFactory func(baseURL string, timeout time.Duration) backing.Log

// Options are the dependencies of the commands.
type Options struct {
	// NewLog creates the client of the platform log.
	NewLog LogFactory
	// LoadSnapshot may be nil; see operator.ClientSettings.
	LoadSnapshot operator.SnapshotLoader
	// Stdin is read in place of a file named "-".
	Stdin io.Reader
	// Stdout receives results, Stderr receives errors and notes.
	Stdout io.Writer
	Stderr io.Writer
	// Version is the version of the build.
	Version string
}
