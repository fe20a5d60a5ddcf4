package managed

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/telemetry"
	"github.com/jacinthbend/jacinthbend/internal/usage"
	"github.com/jacinthbend/jacinthbend/internal/witness"
)

const (
	// usageSectionInterval is how often changed counts go to the witnesses. Their record is sent at
	// most as often.
	usageSectionInterval = 200 * time.Millisecond
	// usageWitnessWidth is how many agents are asked for the counts of an instance: its set and those
	// that it may have chosen in place of agents that are gone.
	usageWitnessWidth = 12
	// maxUsageReads bounds the calls to agents at a time.
	maxUsageReads = 64
)

// usageWitnesses reads what agents keep of the counts of entry instances.
type usageWitnesses struct {
	transport witness.Transport
	members   func() map[string]fleet.Member
}

var _ usage.Witnesses = usageWitnesses{}

// Sections implements usage.Witnesses.
func (w usageWitnesses) Sections(ctx context.Context, names []string) (map[string][]json.RawMessage, error) {
	members := w.members()
	var mu sync.Mutex
	newest := make(map[string]map[uint64]witness.Stored)
	answered := 0
	var calls errgroup.Group
	calls.SetLimit(maxUsageReads)
	for _, name := range names {
		candidates := witness.Candidates(name, members)
		for _, agent := range candidates[:min(usageWitnessWidth, len(candidates))] {
			calls.Go(func() error {
				resp, err := w.transport.Read(ctx, agent.Addr, witness.ReadRequest{Instance: name, UsageOnly: true})
				if err != nil {
					return nil // others have the record, too
				}
				mu.Lock()
				defer mu.Unlock()
				answered++
				for _, r := range resp.Records {
					if newest[name] == nil {
						newest[name] = make(map[uint64]witness.Stored)
					}
					if known, ok := newest[name][r.Start]; !ok || r.Sequence > known.Sequence {
						newest[name][r.Start] = r
					}
				}
				return nil
			})
		}
	}
	_ = calls.Wait()
	out := make(map[string][]json.RawMessage)
	for name, runs := range newest {
		for _, r := range runs {
			// A run that has counted nothing yet has no section.
			section := r.Usage
			if len(section) == 0 {
				section = json.RawMessage(fmt.Sprintf(`{"start":%d}`, r.Start))
			}
			out[name] = append(out[name], section)
		}
	}
	if answered == 0 && len(members) > 0 {
		return out, errors.New("no agent answered")
	}
	return out, nil
}

// sendSections gives the counts to the witnesses whenever they have changed, until ctx ends.
func (d *duties) sendSections(ctx context.Context, reporter *witness.Reporter, logger *zap.Logger) {
	sent := uint64(0)
	for ctx.Err() == nil {
		sleep(ctx, usageSectionInterval)
		changes := d.counter.Changes()
		if changes == sent {
			continue
		}
		section, err := d.counter.Section()
		if err != nil {
			logger.Error("cannot give usage counts to witnesses", telemetry.Err(err))
			continue
		}
		sent = changes
		reporter.SetUsage(section)
	}
}
