package platform

import "context"

// ListedState is what the instance list says of an instance.
type ListedState string

// States of a listed instance.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// Listed is one entry of the instance list.
type Listed struct {
	// Instance is the platform's id of the machine; a replacement gets a new id.
	Instance   string      `json:"instance"`
	Addr       string      `json:"addr"`
	DataCentre string      `json:"data_centre"`
	State      ListedState `json:"state"`
}

// InstanceList is the platform's list of instances. It lags: dead instances
// may be listed and live ones missing, so it is evidence and never proof.
type InstanceList interface {
	List(ctx context.Context) ([]Listed, error)
}
