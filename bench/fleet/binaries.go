// Package fleet runs the entry and agent binaries as processes on loopback
// against stand-ins for the platform and the upstreams. End-to-end tests and
// measurements use it.
package fleet

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Binaries are the paths of the two programs.
type Binaries struct {
	Entry string
	Agent string
}

// Build compiles both programs into dir.
func Build(ctx context.Context, dir string) (Binaries, error) {
	const module = "github.com/jacinthbend/jacinthbend/cmd/"
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), module+"jacinthbend", module+"jacinthbend-agent")
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, errors.Wrapf(err, "build the binaries: %s", out)
	}
	return Binaries{
		Entry: filepath.Join(dir, "jacinthbend"),
		Agent: filepath.Join(dir, "jacinthbend-agent"),
	}, nil
}
