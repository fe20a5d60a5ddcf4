package config

import "net/http"

// DefaultVersion is the checkpoint version of a model or adapter that names none.
const DefaultVersion = "1"

// WithDefaults returns t with every zero optional field set to its default.
func (t Team) WithDefaults() Team {
	setDefault(&t.Weight, 1)
	return t
}

// WithDefaults returns d with every zero optional field set to its default.
func (d DataCentre) WithDefaults() DataCentre {
	setDefault(&d.State, DataCentreIn)
	return d
}

// WithDefaults returns p with every zero optional field set to its default.
func (p Pool) WithDefaults() Pool {
	setDefault(&p.MaxInFlight, 64)
	setDefault(&p.StartInFlight, min(4, p.MaxInFlight))
	return p
}

// WithDefaults returns m with every zero optional field set to its default.
func (m Model) WithDefaults() Model {
	setDefault(&m.Version, DefaultVersion)
	setDefault(&m.MaxReplicas, 1)
	return m
}

// WithDefaults returns a with every zero optional field set to its default.
func (a Adapter) WithDefaults() Adapter {
	setDefault(&a.Version, DefaultVersion)
	setDefault(&a.MaxReplicas, 1)
	return a
}

// WithDefaults returns r with every zero optional field set to its default.
func (r Route) WithDefaults() Route {
	setDefault(&r.CostTokens, 1)
	if len(r.Methods) == 0 {
		r.Methods = []string{http.MethodPost}
	}
	return r
}

// WithDefaults returns a copy of d with the defaults of every entry set.
func (d Document) WithDefaults() Document {
	return Document{
		Teams:       mapValues(d.Teams, Team.WithDefaults),
		Keys:        mapValues(d.Keys, func(k Key) Key { return k }),
		DataCentres: mapValues(d.DataCentres, DataCentre.WithDefaults),
		Pools:       mapValues(d.Pools, Pool.WithDefaults),
		Models:      mapValues(d.Models, Model.WithDefaults),
		Adapters:    mapValues(d.Adapters, Adapter.WithDefaults),
		Routes:      mapValues(d.Routes, Route.WithDefaults),
		Limits:      d.Limits.WithDefaults(),
	}
}

func mapValues[V any](in map[string]V, change func(V) V) map[string]V {
	out := make(map[string]V, len(in))
	for id, v := range in {
		out[id] = change(v)
	}
	return out
}
