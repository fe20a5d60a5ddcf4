package entryrpc

import (
	"github.com/jacinthbend/jacinthbend/internal/quarantine"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

const (
	pathBorrow = "/v1/entry/borrow"
	pathBook   = "/v1/entry/book"
	pathReturn = "/v1/entry/return"
	pathTopic  = "/v1/entry/topic"
	pathCrash  = "/v1/entry/crash-report"
	pathOrigin = "/v1/entry/stream-origin"
	pathUsage  = "/v1/entry/usage"
)

// returnRequest returns borrowed tokens that were not spent.
type returnRequest struct {
	Team   string  `json:"team"`
	Tokens float64 `json:"tokens"`
}

type returnResponse struct{}

// topicRequest asks for records of a topic.
type topicRequest struct {
	Topic topicwatch.Name `json:"topic"`
	// Fresh asks for the records from offset From on, provided that the called
	// instance has recently read the topic from the store itself. If there are none,
	// the call waits up to WaitMS ms for one. Without Fresh, the call asks for all
	// known records.
	Fresh bool  `json:"fresh,omitempty"`
	From  int64 `json:"from,omitempty"`
	// Era is the era of From.
	Era    int64 `json:"era,omitempty"`
	WaitMS int64 `json:"wait_ms,omitempty"`
	// Before asks only for the records from before this era; 0 for all.
	Before int64 `json:"before,omitempty"`
	// MaxAgeMS is how long ago the store may have confirmed the records, in ms; 0 stands
	// for topicwatch.MaxStaleness.
	MaxAgeMS int64 `json:"max_age_ms,omitempty"`
}

// topicResponse has the requested records. Known is false if the instance cannot
// provide them.
type topicResponse struct {
	Known bool            `json:"known"`
	Page  topicwatch.Page `json:"page"`
}

// originRequest asks for what began the stream of a request.
type originRequest struct {
	Service string `json:"service"`
	Request string `json:"request"`
}

// crashReport carries what an instance knows of crashed upstreams.
type crashReport struct {
	From   string            `json:"from"`
	Report quarantine.Report `json:"report"`
}

type crashReportResponse struct{}
