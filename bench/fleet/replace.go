package fleet

import (
	"fmt"
	"net"
	"slices"

	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// RemoveFromList removes an instance from the platform's list.
func (f *Fleet) RemoveFromList(instance string) {
	f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(listed backing.ListedInstance) bool { return listed.Instance == instance })
	f.Platform.SetInstances(f.listed)
}

// AddEngine starts one more engine and its agent, under a new instance id, in the
// data centre of the engine with index sameDataCentreAs.
func (f *Fleet) AddEngine(sameDataCentreAs int) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for engine")
	}
	o := f.options.Engine
	o.Weights = f.Platform.Weights
	e := standin.NewEngine(ln, o)
	name := fmt.Sprintf("engine-%d", len(f.Engines))
	f.Engines = append(f.Engines, e)
	f.run(e)
	return f.startAgent(name, sameDataCentreAs, PoolEngines, e.Addr())
}
