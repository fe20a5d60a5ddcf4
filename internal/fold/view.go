// Package fold is the replicated state machine of the control stream. It applies
// the records of the stream in order to a View. It is deterministic: it uses no
// clock and no randomness, so instances that applied the same records have equal
// views.
package fold

import (
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cow"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// View is the state after all records of the control stream up to an offset. A
// View is immutable; Apply returns a new one.
type View struct {
	// Offset is the offset of the last record read, including rejected records.
	Offset platform.Offset
	// ConfigVersion is the offset of the last applied configuration change.
	ConfigVersion platform.Offset

	Teams       *cow.Table[config.Team]
	Keys        *cow.Table[config.Key]
	DataCentres *cow.Table[config.DataCentre]
	Pools       *cow.Table[config.Pool]
	Models      *cow.Table[config.Model]
	Adapters    *cow.Table[config.Adapter]
	Routes      *cow.Table[config.Route]
	Limits      config.Limits

	// KeyIDByHash maps the SHA-256 digest of an API key's secret to the key id.
	KeyIDByHash *cow.Table[string]
	// Members has the live incarnation of each instance, by instance id.
	Members *cow.Table[Member]
	// Homes has the placement of each checkpoint, by its name ("model" or
	// "model:adapter").
	Homes *cow.Table[Homes]
	// CheckpointsByInstance lists, by instance id, the checkpoints that have the
	// instance as active or releasing home. It is the reverse index of Homes.
	CheckpointsByInstance *cow.Table[[]string]
	// Suspects has the requests that were in flight during crashes, by digest.
	Suspects *cow.Table[Suspect]

	recent recentIDs
}

// Empty returns the view before the first record.
func Empty() *View {
	return &View{
		Teams:                 cow.New[config.Team](),
		Keys:                  cow.New[config.Key](),
		DataCentres:           cow.New[config.DataCentre](),
		Pools:                 cow.New[config.Pool](),
		Models:                cow.New[config.Model](),
		Adapters:              cow.New[config.Adapter](),
		Routes:                cow.New[config.Route](),
		KeyIDByHash:           cow.New[string](),
		Members:               cow.New[Member](),
		Homes:                 cow.New[Homes](),
		CheckpointsByInstance: cow.New[[]string](),
		Suspects:              cow.New[Suspect](),
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
