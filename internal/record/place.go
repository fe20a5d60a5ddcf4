package record

import "github.com/jacinthbend/jacinthbend/internal/backing"

// InstanceRef identifies one incarnation of an instance.
type InstanceRef struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// HomeAssignment replaces the homes of one model or adapter. The homes of a
// checkpoint are the agents whose upstreams are assigned to load and serve it.
type HomeAssignment struct {
	// Checkpoint is "model" or "model:adapter", made of their ids.
	Checkpoint string `json:"checkpoint"`
	// Base is the offset of the record that last set these homes, 0 for none. If it
	// is stale, this entry has no effect; other entries of the record still apply.
	Base  backing.Offset `json:"base"`
	Homes []InstanceRef  `json:"homes"`
}

// PlaceHomes assigns homes to checkpoints. A home may load a checkpoint only after
// this record. The offset of the record is the fencing token of those loads.
type PlaceHomes struct {
	Entries []HomeAssignment `json:"entries"`
}

// Kind implements Body.
func (PlaceHomes) Kind() Kind { return KindPlaceHomes }

// PlaceReleased reports that a former home no longer holds the checkpoints. It has
// no effect on homes that were set after AsOf, because a late report must not
// release a home that was assigned and has loaded the checkpoint in the meantime.
type PlaceReleased struct {
	// AsOf is the offset of the view on which the report is based.
	AsOf        backing.Offset `json:"as_of"`
	Home        InstanceRef    `json:"home"`
	Checkpoints []string       `json:"checkpoints"`
}

// Kind implements Body.
func (PlaceReleased) Kind() Kind { return KindPlaceReleased }
