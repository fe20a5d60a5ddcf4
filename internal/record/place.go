package record

import "github.com/jacinthbend/jacinthbend/internal/platform"

// InstanceRef names the incarnation of an agent whose upstream is a home.
type InstanceRef struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// HomeAssignment sets the homes of one model or adapter.
type HomeAssignment struct {
	// Checkpoint is "model" or "model:adapter" by id.
	Checkpoint string `json:"checkpoint"`
	// Base is the offset of the record that last set these homes, 0 for none. A
	// stale base voids this entry and leaves the others.
	Base  platform.Offset `json:"base"`
	Homes []InstanceRef       `json:"homes"`
}

// PlaceHomes decides homes ahead of the loads. The offset of the record is
// the fencing number of the loads that it allows.
type PlaceHomes struct {
	Entries []HomeAssignment `json:"entries"`
}

// Kind implements Body.
func (PlaceHomes) Kind() Kind { return KindPlaceHomes }

// PlaceReleased reports that former homes hold the checkpoints no more. It
// says nothing about homes that were set after AsOf: a report that arrives
// late must not release a replica that was decided and loaded since.
type PlaceReleased struct {
	// AsOf is the offset of the view on which the report is based.
	AsOf        platform.Offset `json:"as_of"`
	Home        InstanceRef         `json:"home"`
	Checkpoints []string        `json:"checkpoints"`
}

// Kind implements Body.
func (PlaceReleased) Kind() Kind { return KindPlaceReleased }
