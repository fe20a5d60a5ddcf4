package fleet

import (
	"fmt"
	"net"
	"slices"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// RemoveFromList takes an instance off the platform's list.
func (f *Fleet) RemoveFromList(instance string) {
	f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(l platform.Listed) bool { return l.Instance == instance })
	f.Platform.SetInstances(f.listed)
}

// AddEngine starts one more engine with an agent in the data centre of the
// engine at index like, under an instance id of its own.
func (f *Fleet) AddEngine(like int) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for an engine")
	}
	o := f.options.Engine
	o.Weights = f.Platform.Weights
	e := standin.NewEngine(ln, o)
	name := fmt.Sprintf("engine-%d", len(f.Engines))
	f.Engines = append(f.Engines, e)
	f.run(e)
	return f.startAgent(name, like, PoolEngines, e.Addr())
}
