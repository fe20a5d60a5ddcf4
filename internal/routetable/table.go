// Package routetable finds the route and the team of a request.
package routetable

import (
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Table is an index over one configuration. It is immutable.
type Table struct {
	Config *fleet.Config
	hosts  map[string]map[string]*fleet.Route
	keys   map[string]*fleet.Team
}

// New returns the index of c.
func New(c *fleet.Config) *Table {
	t := &Table{Config: c, hosts: make(map[string]map[string]*fleet.Route), keys: make(map[string]*fleet.Team)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*fleet.Route)
		}
		t.hosts[host][r.Prefix] = r
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.keys[k] = &c.Teams[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil.
// The cost grows with the number of slashes of the path, not of the routes.
func (t *Table) Match(host, path string) *fleet.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if len(prefixes) == 0 {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r
		}
		end = slash
	}
	return nil
}

// Team returns the team that holds key.
func (t *Table) Team(key string) (*fleet.Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// NeedsKey reports whether requests of r need a key.
func (t *Table) NeedsKey(r *fleet.Route) bool {
	return len(t.Config.Teams) > 0 && !r.Public
}
