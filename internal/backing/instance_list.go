package backing

import "context"

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of a listed instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one entry of the instance list.
type ListedInstance struct {
	// Instance is the platform's id of the machine; a replacement gets a new id.
	Instance   string        `json:"instance"`
	Addr       string        `json:"addr"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It lags: dead instances may
// be listed and live ones missing, so it does not prove that an instance is alive
// or dead.
type InstanceList interface {
	List(ctx context.Context) ([]ListedInstance, error)
}
