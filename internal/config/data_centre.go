package config

// DataCentreState says whether a data centre receives new work.
type DataCentreState string

// States of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a failure domain in which instances and upstreams run.
type DataCentre struct {
	// Region is the id of the region. The data centres of one region may be cut
	// off together by one network failure.
	Region string `json:"region"`
	// State is "in" for a data centre in service or "out" for one that receives
	// no new work. Default "in".
	State DataCentreState `json:"state,omitempty"`
}

// In reports whether the data centre receives new work.
func (d DataCentre) In() bool { return d.State != DataCentreOut }
