package configcheck

import (
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// document is a valid document with its defaults and what the checks look up in it.
type document struct {
	config.Document
	// withKey has the teams that own a key, in ascending order.
	withKey []string
	// poolUsers counts the models and routes of each pool.
	poolUsers map[string]int
}

func newDocument(doc config.Document) *document {
	d := &document{Document: doc.WithDefaults(), poolUsers: make(map[string]int)}
	teams := make(map[string]bool)
	for _, key := range doc.Keys {
		teams[key.Team] = true
	}
	d.withKey = slices.Sorted(maps.Keys(teams))
	for _, m := range doc.Models {
		d.poolUsers[m.Pool]++
	}
	for _, r := range doc.Routes {
		d.poolUsers[r.Pool]++
	}
	return d
}

// hasCaller reports whether a key of an allowed team exists. An empty list allows
// all teams.
func (d *document) hasCaller(lists ...[]string) bool {
	return slices.ContainsFunc(d.withKey, func(team string) bool { return allowed(team, lists...) })
}

// allowed reports whether each of the lists allows the team.
func allowed(team string, lists ...[]string) bool {
	for _, teams := range lists {
		if len(teams) > 0 && !slices.Contains(teams, team) {
			return false
		}
	}
	return true
}

func entryPath(section record.Section, id string, fields ...string) config.Path {
	path := config.EntryPath(section, id)
	for _, f := range fields {
		path = path.Field(f)
	}
	return path
}
