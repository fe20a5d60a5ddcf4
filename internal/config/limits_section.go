package config

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// LimitsID is the id of the single entry of the limits section.
const LimitsID = "limits"

type limitsSection struct{}

func (limitsSection) name() record.Section { return record.SectionLimits }

func (limitsSection) ids(doc Document) []string {
	if doc.Limits == (Limits{}) {
		return nil
	}
	return []string{LimitsID}
}

func (limitsSection) entry(doc Document, _ string) json.RawMessage {
	if doc.Limits == (Limits{}) {
		return nil
	}
	return encode(doc.Limits)
}

func (limitsSection) copyEntries(*Document) {}

func (limitsSection) apply(doc *Document, _ string, value json.RawMessage) error {
	if value == nil {
		doc.Limits = Limits{}
		return nil
	}
	var limits Limits
	if err := json.Unmarshal(value, &limits); err != nil {
		return err
	}
	doc.Limits = limits
	return nil
}
