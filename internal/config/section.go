package config

import (
	"encoding/json"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// section gives generic access to one section of a document.
type section interface {
	name() record.Section
	// ids returns the sorted ids of the entries.
	ids(doc Document) []string
	// entry returns the JSON form of an entry, or nil if it does not exist.
	entry(doc Document, id string) json.RawMessage
	// copyEntries replaces the section's map with a copy, so that apply does not
	// change other documents that share the map.
	copyEntries(doc *Document)
	// apply sets an entry in place, or deletes it if value is nil.
	apply(doc *Document, id string, value json.RawMessage) error
}

// sections lists every section in the order in which Diff returns them.
var sections = []section{
	mapSection[Team]{record.SectionTeams, func(d *Document) *map[string]Team { return &d.Teams }},
	mapSection[Key]{record.SectionKeys, func(d *Document) *map[string]Key { return &d.Keys }},
	mapSection[DataCentre]{record.SectionDataCentres, func(d *Document) *map[string]DataCentre { return &d.DataCentres }},
	mapSection[Pool]{record.SectionPools, func(d *Document) *map[string]Pool { return &d.Pools }},
	mapSection[Model]{record.SectionModels, func(d *Document) *map[string]Model { return &d.Models }},
	mapSection[Adapter]{record.SectionAdapters, func(d *Document) *map[string]Adapter { return &d.Adapters }},
	mapSection[Route]{record.SectionRoutes, func(d *Document) *map[string]Route { return &d.Routes }},
	limitsSection{},
}

// Sections returns the sections in the order in which Diff returns them.
func Sections() []record.Section {
	out := make([]record.Section, len(sections))
	for i, s := range sections {
		out[i] = s.name()
	}
	return out
}

func sectionByName(name record.Section) (section, bool) {
	i := slices.IndexFunc(sections, func(s section) bool { return s.name() == name })
	if i < 0 {
		return nil, false
	}
	return sections[i], true
}

// encode returns the JSON form of a value. Non-finite floats are the only values
// in an entry that JSON cannot represent; Validate rejects them, and an entry
// that has one is encoded as null.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
