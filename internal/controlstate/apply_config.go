package controlstate

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (v *View) applyConfigChange(c record.ConfigChange) ApplyResult {
	if c.Base != v.ConfigVersion {
		return rejected(fmt.Sprintf("based on version %d, but version %d is in force", c.Base, v.ConfigVersion))
	}
	for _, entry := range c.Changes {
		if err := v.applyEntry(entry); err != nil {
			return rejected(fmt.Sprintf("%s/%s: %v", entry.Section, entry.ID, err))
		}
	}
	for _, entry := range c.Changes {
		if err := v.checkEntry(entry); err != nil {
			return rejected(fmt.Sprintf("%s/%s: %v", entry.Section, entry.ID, err))
		}
	}
	v.ConfigVersion = v.Offset
	return applied()
}

func (v *View) applyEntry(c record.EntryChange) error {
	switch c.Section {
	case record.SectionTeams:
		return putEntry(&v.Teams, c)
	case record.SectionKeys:
		return v.putKey(c)
	case record.SectionDataCentres:
		return putEntry(&v.DataCentres, c)
	case record.SectionPools:
		return putEntry(&v.Pools, c)
	case record.SectionModels:
		return putEntry(&v.Models, c)
	case record.SectionAdapters:
		return putEntry(&v.Adapters, c)
	case record.SectionRoutes:
		return putEntry(&v.Routes, c)
	case record.SectionLimits:
		return v.putLimits(c)
	default:
		return fmt.Errorf("unknown section")
	}
}

func isDeletion(c record.EntryChange) bool {
	return len(c.Value) == 0 || string(c.Value) == "null"
}

func putEntry[V any](table **cowmap.Table[V], c record.EntryChange) error {
	if isDeletion(c) {
		*table = (*table).Without(c.ID)
		return nil
	}
	var value V
	if err := json.Unmarshal(c.Value, &value); err != nil {
		return err
	}
	*table = (*table).With(c.ID, value)
	return nil
}

// putKey changes one API key and updates KeyIDByHash to match Keys.
func (v *View) putKey(c record.EntryChange) error {
	if old, ok := v.Keys.Get(c.ID); ok {
		v.KeyIDByHash = v.KeyIDByHash.Without(old.SHA256)
	}
	if err := putEntry(&v.Keys, c); err != nil {
		return err
	}
	if key, ok := v.Keys.Get(c.ID); ok {
		if other, taken := v.KeyIDByHash.Get(key.SHA256); taken {
			return fmt.Errorf("key %q has the same digest", other)
		}
		v.KeyIDByHash = v.KeyIDByHash.With(key.SHA256, c.ID)
	}
	return nil
}

func (v *View) putLimits(c record.EntryChange) error {
	if isDeletion(c) {
		v.Limits = config.Limits{}
		return nil
	}
	var limits config.Limits
	if err := json.Unmarshal(c.Value, &limits); err != nil {
		return err
	}
	v.Limits = limits
	return nil
}
