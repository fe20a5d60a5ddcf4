// Package routetable looks up the route of a request and the team of an API key.
package routetable

import (
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Table is an immutable index of the routes and API keys of one configuration.
type Table struct {
	Config *fleet.Config
	// routesByHost maps a lower-case host and a path prefix to a route.
	routesByHost map[string]map[string]*fleet.Route
	teamsByKey   map[string]*fleet.Team
}

// New returns the index of c.
func New(c *fleet.Config) *Table {
	t := &Table{Config: c, routesByHost: make(map[string]map[string]*fleet.Route), teamsByKey: make(map[string]*fleet.Team)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = make(map[string]*fleet.Route)
		}
		t.routesByHost[host][r.Prefix] = r
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.teamsByKey[k] = &c.Teams[i]
		}
	}
	return t
}

// Match returns the route of host with the longest matching prefix of path, or
// nil. The cost grows with the number of slashes in path, not with the number of
// routes.
func (t *Table) Match(host, path string) *fleet.Route {
	// The colons of an IPv6 address in brackets are no port.
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	prefixes := t.routesByHost[strings.ToLower(host)]
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
	team, ok := t.teamsByKey[key]
	return team, ok
}

// NeedsKey reports whether requests on route r need a team key.
func (t *Table) NeedsKey(r *fleet.Route) bool {
	return len(t.Config.Teams) > 0 && !r.Public
}
