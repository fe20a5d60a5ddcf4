package fleet

import "time"

// ResponseAttributes is what the head of an upstream's answer says besides its status.
type ResponseAttributes struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Stamped answers carry the upstream's stamp.
	Stamped bool
	// NotExecuted is the upstream's statement that it did not run the request.
	NotExecuted bool
	// Encoded answers have a content encoding, which no upstream applies.
	Encoded bool
	// Instance is the id that the upstream gives itself, or empty.
	Instance string
	// WeightsVersion is the version of the model that runs, or empty.
	WeightsVersion string
	// HasLoad tells whether Running, Waiting and Slots are known.
	HasLoad                 bool
	Running, Waiting, Slots int
	// KeepAlive is how long the upstream keeps an idle connection; 0 is unknown.
	KeepAlive time.Duration
}

// ForwardAttributes is what the system adds to a request that it passes on.
type ForwardAttributes struct {
	// Timeout is how long the upstream may work.
	Timeout time.Duration
	// Instance is the only upstream that may run the request.
	Instance string
	// Team is the team whose key came with the request, or empty.
	Team string
	// Urgency is from 0, first, to 9; set only for engines.
	Urgency    int
	HasUrgency bool
	// ResumeAfter and WeightsVersion are set when a stream goes on elsewhere.
	ResumeAfter, WeightsVersion string
}
