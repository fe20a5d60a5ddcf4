// Package config defines the JSON document that configures the fleet, validates
// it, and computes the entry-level change sets in which it is published.
package config

// Document is the whole configuration. Each section except Limits maps ids to
// entries, so that a change can name a single entry. Ids match
// [a-z0-9][a-z0-9._-]{0,62}.
type Document struct {
	// Teams are the customers of the fleet, by team id.
	Teams map[string]Team `json:"teams,omitempty"`
	// Keys are the API keys of the teams, by key id; only their hashes are stored.
	Keys map[string]Key `json:"keys,omitempty"`
	// DataCentres are the failure domains in which instances and upstreams run.
	DataCentres map[string]DataCentre `json:"data_centres,omitempty"`
	// Pools are groups of interchangeable upstreams.
	Pools map[string]Pool `json:"pools,omitempty"`
	// Models are the base models.
	Models map[string]Model `json:"models,omitempty"`
	// Adapters are weights that an engine loads on top of a base model.
	Adapters map[string]Adapter `json:"adapters,omitempty"`
	// Routes forward calls to plain services.
	Routes map[string]Route `json:"routes,omitempty"`
	// Limits apply to every instance.
	Limits Limits `json:"limits,omitzero"`
}
