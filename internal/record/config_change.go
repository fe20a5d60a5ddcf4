package record

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// Section is the name of a top-level member of the configuration document: a map
// of entries by id, or the limits object.
type Section string

// Sections of the configuration document, by their JSON names.
const (
	SectionTeams       Section = "teams"
	SectionKeys        Section = "keys"
	SectionDataCentres Section = "data_centres"
	SectionPools       Section = "pools"
	SectionModels      Section = "models"
	SectionAdapters    Section = "adapters"
	SectionRoutes      Section = "routes"
	// SectionLimits has a single entry whose id is "limits".
	SectionLimits Section = "limits"
)

// EntryChange replaces or deletes one entry of a section.
type EntryChange struct {
	Section Section `json:"section"`
	ID      string  `json:"id"`
	// Value is the whole new entry; null or absent deletes it.
	Value json.RawMessage `json:"value,omitempty"`
}

// ConfigChange publishes a new version of the configuration. The version is the
// offset of the record. Base is the version that the author changed. If it is
// not the current version at the record's offset, the change has no effect.
type ConfigChange struct {
	Base backing.Offset `json:"base"`
	// Author is the operator. Envelope.Author is the instance or client that
	// appended the record on the operator's behalf.
	Author  string        `json:"author,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Changes []EntryChange `json:"changes"`
}

// Kind implements Body.
func (ConfigChange) Kind() Kind { return KindConfigChange }
