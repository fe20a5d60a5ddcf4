package witness

import "time"

// Paths of the calls to agents.
const (
	PathWrite = "/v1/agent/witness"
	PathRead  = "/v1/agent/witness-read"
)

// WriteResponse answers a Record.
type WriteResponse struct {
	// Clock is the time on the witness's clock after it took the record.
	Clock Mark `json:"clock"`
	// Superseded tells that a later start of the instance has reported, so that the record was not
	// taken.
	Superseded bool `json:"superseded,omitempty"`
}

// ReadRequest asks for records.
type ReadRequest struct {
	// Instance is the entry instance whose records are wanted; empty for those of all.
	Instance string `json:"instance,omitempty"`
	// UsageOnly leaves out the quota section of each record.
	UsageOnly bool `json:"usage_only,omitempty"`
}

// ReadResponse has the newest record of each start.
type ReadResponse struct {
	// UptimeMS is for how long the witness's process has run, in ms. It has forgotten what it took
	// before.
	UptimeMS int64    `json:"uptime_ms"`
	Records  []Stored `json:"records,omitempty"`
}

// Stored is a record at a witness. Both ages are measured on the witness's boot-time clock.
type Stored struct {
	Record
	// AgeMS is the time since the witness received the record, in ms: no more than the record's age.
	AgeMS int64 `json:"age_ms"`
	// LeaseAgeMS is the time since the newest confirmed record was made, as known to this record, in
	// ms: no less than the true time. It is negative if unknown.
	LeaseAgeMS int64 `json:"lease_age_ms"`
}

// Age is the time since the witness received the record.
func (s Stored) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// LeaseAge is the time since the newest confirmed record was made. ok is false if it is unknown.
func (s Stored) LeaseAge() (age time.Duration, ok bool) {
	return time.Duration(s.LeaseAgeMS) * time.Millisecond, s.LeaseAgeMS >= 0
}
