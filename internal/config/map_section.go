package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

type mapSection[V any] struct {
	section record.Section
	field   func(*Document) *map[string]V
}

func (s mapSection[V]) name() record.Section { return s.section }

func (s mapSection[V]) ids(doc Document) []string {
	return slices.Sorted(maps.Keys(*s.field(&doc)))
}

func (s mapSection[V]) entry(doc Document, id string) json.RawMessage {
	value, ok := (*s.field(&doc))[id]
	if !ok {
		return nil
	}
	return encode(value)
}

func (s mapSection[V]) copyEntries(doc *Document) {
	field := s.field(doc)
	next := make(map[string]V, len(*field)+1)
	maps.Copy(next, *field)
	*field = next
}

func (s mapSection[V]) apply(doc *Document, id string, value json.RawMessage) error {
	entries := *s.field(doc)
	if value == nil {
		delete(entries, id)
		return nil
	}
	var entry V
	if err := json.Unmarshal(value, &entry); err != nil {
		return err
	}
	entries[id] = entry
	return nil
}
