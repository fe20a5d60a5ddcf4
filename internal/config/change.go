package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Diff returns the entry-level changes that turn from into to. They are ordered
// by section as in Sections; within a section deletions come before puts, each
// sorted by id. Entries are compared by their JSON form.
func Diff(from, to Document) []record.EntryChange {
	var out []record.EntryChange
	for _, s := range sections {
		ids := append(s.ids(from), s.ids(to)...)
		out = append(out, diffEntries(s, from, to, ids)...)
	}
	return out
}

// DiffChanged is like Diff, but compares only the entries that occur in changes,
// so it is cheap for a large document. If the documents differ only in these
// entries, the result equals that of Diff.
func DiffChanged(from, to Document, changes []record.EntryChange) []record.EntryChange {
	var out []record.EntryChange
	for _, s := range sections {
		var ids []string
		for _, c := range changes {
			if c.Section == s.name() {
				ids = append(ids, c.ID)
			}
		}
		out = append(out, diffEntries(s, from, to, ids)...)
	}
	return out
}

// diffEntries compares the entries with the given ids. Deletions come first because
// internal/controlstate indexes keys by digest: when a digest moves to another
// key id, the old key must be deleted before the new one is added.
func diffEntries(s section, from, to Document, ids []string) []record.EntryChange {
	var deletions, puts []record.EntryChange
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		value := s.entry(to, id)
		if bytes.Equal(s.entry(from, id), value) {
			continue
		}
		change := record.EntryChange{Section: s.name(), ID: id, Value: value}
		if value == nil {
			deletions = append(deletions, change)
		} else {
			puts = append(puts, change)
		}
	}
	return append(deletions, puts...)
}

// Apply returns doc with the changes applied in order. It checks only the
// structure of each changed entry; Validate checks the whole document. If there
// is any problem, Apply returns doc unchanged.
func Apply(doc Document, changes []record.EntryChange) (Document, Problems) {
	next := doc
	var problems Problems
	copied := make(map[record.Section]bool)
	for _, c := range changes {
		s, ok := sectionByName(c.Section)
		if !ok {
			problems.add(RuleUnknownField, Root.Field(string(c.Section)), nil, "unknown section")
			continue
		}
		// Copy each section once. A copy per change takes quadratic time: 27 s
		// for the first publication of 13,000 adapters.
		if !copied[c.Section] {
			s.copyEntries(&next)
			copied[c.Section] = true
		}
		applyChange(s, &next, c, &problems)
	}
	if len(problems) > 0 {
		return doc, problems.sorted()
	}
	return next, nil
}

func applyChange(s section, doc *Document, c record.EntryChange, problems *Problems) {
	path := EntryPath(c.Section, c.ID)
	if c.Section == record.SectionLimits && c.ID != LimitsID {
		problems.add(RuleFormat, path, c.ID, "the only entry of the limits section is %q", LimitsID)
		return
	}
	value := changeValue(c)
	if value != nil {
		found := checkSchema(c.Section, path, value)
		*problems = append(*problems, found...)
		if len(found) > 0 {
			return
		}
	}
	if err := s.apply(doc, c.ID, value); err != nil {
		problems.add(RuleType, path, string(c.Value), "%v", err)
	}
}

// changeValue returns the new entry of c, or nil if c deletes the entry.
func changeValue(c record.EntryChange) json.RawMessage {
	if len(c.Value) == 0 || string(c.Value) == "null" {
		return nil
	}
	return c.Value
}

// EntryPath returns the JSON path of an entry. The limits section consists of a
// single entry, so its path has no id.
func EntryPath(section record.Section, id string) Path {
	if section == record.SectionLimits {
		return Root.Field(string(section))
	}
	return Root.Field(string(section)).Field(id)
}

// EntryValue returns the JSON form of one entry, or nil if it does not exist.
func EntryValue(doc Document, section record.Section, id string) json.RawMessage {
	s, ok := sectionByName(section)
	if !ok {
		return nil
	}
	return s.entry(doc, id)
}

// EntryIDs returns the sorted ids of the entries of a section.
func EntryIDs(doc Document, section record.Section) []string {
	s, ok := sectionByName(section)
	if !ok {
		return nil
	}
	return s.ids(doc)
}
