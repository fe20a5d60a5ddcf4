// Package httpapi has the HTTP and JSON clients of the platform's services
// and the message types that the stand-ins answer with.
package httpapi

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// Paths of the platform's services.
const (
	PathAppend = "/log/append"
	PathRead   = "/log/read"
	PathList   = "/instances/list"
	PathFetch  = "/weights/fetch"
)

// AppendRequest asks the log to append.
type AppendRequest struct {
	Stream  string            `json:"stream"`
	Entries []json.RawMessage `json:"entries"`
}

// AppendResponse is the log's answer to an append.
type AppendResponse struct {
	First platform.Offset `json:"first"`
}

// ReadRequest asks the log for records.
type ReadRequest struct {
	Stream string          `json:"stream"`
	After  platform.Offset `json:"after"`
	Limit  int             `json:"limit"`
	WaitMS int64           `json:"wait_ms"`
}

// ReadResponse is the log's answer to a read.
type ReadResponse struct {
	platform.Page
	// Expired is set when records after the requested offset are gone.
	Expired bool `json:"expired,omitempty"`
}

// ListRequest asks for the instance list.
type ListRequest struct{}

// ListResponse is the instance list.
type ListResponse struct {
	Instances []platform.Listed `json:"instances"`
}

// FetchRequest asks the weight store for a checkpoint.
type FetchRequest struct {
	Checkpoint string `json:"checkpoint"`
	Upstream   string `json:"upstream"`
}

// FetchResponse is the store's answer.
type FetchResponse struct {
	Throttled bool `json:"throttled,omitempty"`
}
