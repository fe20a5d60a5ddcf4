package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// joinBatch is the number of join records per append.
const joinBatch = 500

// addFakeMembers appends join records of agents that do not exist, so that the
// real processes hold a view of full size and its memory can be measured. The
// CPU time and traffic of such a run are not meaningful, because the fleet keeps
// probing the missing agents.
func (m *measurement) addFakeMembers(ctx context.Context) error {
	log := m.fleet.Platform.Log
	listed := m.fleet.ListedInstances()
	var batch []json.RawMessage
	for i := range m.options.FakeMembers {
		dc := m.options.Fleet.DataCentres[i%len(m.options.Fleet.DataCentres)]
		name := fmt.Sprintf("phantom-%d", i)
		listed = append(listed, backing.ListedInstance{Instance: name, DataCentre: dc, State: backing.InstanceLive})
		data, err := joinRecord(name, dc)
		if err != nil {
			return err
		}
		batch = append(batch, data)
		if len(batch) < joinBatch && i+1 < m.options.FakeMembers {
			continue
		}
		if _, err := log.Append(ctx, record.ControlStream, batch); err != nil {
			return errors.Wrap(err, "append join records")
		}
		batch = nil
	}
	m.fleet.Platform.SetInstances(listed)
	return nil
}

func joinRecord(name, dc string) (json.RawMessage, error) {
	e, err := record.New("scale", time.Now().UnixMilli(), record.MemberJoin{
		Instance: name, Incarnation: uuid.NewString(),
		Role: record.RoleAgent, DataCentre: dc, PeerAddr: "127.0.0.1:1", Pool: "phantoms",
	})
	if err != nil {
		return nil, err
	}
	return e.Encode()
}
