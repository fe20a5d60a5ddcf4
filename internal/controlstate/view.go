// Package controlstate is the replicated state machine of the control stream. It
// applies the records of the stream in order to a View. It is deterministic: it
// uses no clock and no randomness, so instances that applied the same records
// have equal views.
package controlstate

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
)

// View is the state after all records of the control stream up to an offset. A
// View is immutable; Apply returns a new one.
type View struct {
	// Offset is the offset of the last record read, including rejected records.
	Offset backing.Offset
	// ConfigVersion is the offset of the last applied configuration change.
	ConfigVersion backing.Offset

	Teams       *cowmap.Table[config.Team]
	Keys        *cowmap.Table[config.Key]
	DataCentres *cowmap.Table[config.DataCentre]
	Pools       *cowmap.Table[config.Pool]
	Models      *cowmap.Table[config.Model]
	Adapters    *cowmap.Table[config.Adapter]
	Routes      *cowmap.Table[config.Route]
	Limits      config.Limits

	// KeyIDByHash maps the SHA-256 digest of an API key's secret to the key id.
	KeyIDByHash *cowmap.Table[string]
	// Members has the live incarnation of each instance, by instance id.
	Members *cowmap.Table[Member]
	// Homes has the placement of each checkpoint, by its name ("model" or
	// "model:adapter").
	Homes *cowmap.Table[Homes]
	// CheckpointsByInstance lists, by instance id, the checkpoints that have the
	// instance as active or releasing home. It is the reverse index of Homes.
	CheckpointsByInstance *cowmap.Table[[]string]
	// Suspects has the requests that were in flight during crashes, by digest.
	Suspects *cowmap.Table[Suspect]

	recent recentIDs
}

// Empty returns the view before the first record.
func Empty() *View {
	return &View{
		Teams:                 cowmap.New[config.Team](),
		Keys:                  cowmap.New[config.Key](),
		DataCentres:           cowmap.New[config.DataCentre](),
		Pools:                 cowmap.New[config.Pool](),
		Models:                cowmap.New[config.Model](),
		Adapters:              cowmap.New[config.Adapter](),
		Routes:                cowmap.New[config.Route](),
		KeyIDByHash:           cowmap.New[string](),
		Members:               cowmap.New[Member](),
		Homes:                 cowmap.New[Homes](),
		CheckpointsByInstance: cowmap.New[[]string](),
		Suspects:              cowmap.New[Suspect](),
		recent:                newRecentIDs(),
	}
}

// Document returns the configuration of the view as one document.
func (v *View) Document() config.Document {
	return config.Document{
		Teams:       v.Teams.Map(),
		Keys:        v.Keys.Map(),
		DataCentres: v.DataCentres.Map(),
		Pools:       v.Pools.Map(),
		Models:      v.Models.Map(),
		Adapters:    v.Adapters.Map(),
		Routes:      v.Routes.Map(),
		Limits:      v.Limits,
	}
}
