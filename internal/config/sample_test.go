package config

import (
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// sample returns a valid document with an entry in every section.
func sample() Document {
	hash := HashSecret("secret")
	return Document{
		Teams:       map[string]Team{"alpha": {RateTokensPerS: 100, BurstTokens: 100}},
		Keys:        map[string]Key{"k1": {Team: "alpha", SHA256: hash}},
		DataCentres: map[string]DataCentre{"dc.1": {Region: "north"}},
		Pools:       map[string]Pool{"gpu": {Kind: PoolEngine, MemoryMiB: 1000}, "svc": {Kind: PoolService}},
		Models:      map[string]Model{"m": {Pool: "gpu", MemoryMiB: 900, Teams: []string{"alpha"}}},
		Adapters:    map[string]Adapter{"a": {Model: "m", MemoryMiB: 100}},
		Routes:      map[string]Route{"r": {Pool: "svc", Methods: []string{"POST"}}},
		Limits:      Limits{StoreLoads: 4},
	}
}

// edited returns the sample with one entry edited.
func edited[V any](field func(*Document) map[string]V, id string, edit func(*V)) Document {
	doc := sample()
	entries := field(&doc)
	v := entries[id]
	edit(&v)
	entries[id] = v
	return doc
}

func teams(d *Document) map[string]Team       { return d.Teams }
func keys(d *Document) map[string]Key         { return d.Keys }
func dcs(d *Document) map[string]DataCentre   { return d.DataCentres }
func pools(d *Document) map[string]Pool       { return d.Pools }
func models(d *Document) map[string]Model     { return d.Models }
func adapters(d *Document) map[string]Adapter { return d.Adapters }
func routes(d *Document) map[string]Route     { return d.Routes }

func editedLimits(edit func(*Limits)) Document {
	doc := sample()
	edit(&doc.Limits)
	return doc
}

var longNote = strings.Repeat("n", maxNoteBytes+1)

func entryPut(section record.Section, id, value string) record.EntryChange {
	return record.EntryChange{Section: section, ID: id, Value: []byte(value)}
}
