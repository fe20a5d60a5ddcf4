// Package httpapi has the HTTP clients of the platform's services, and the JSON
// message types, which the fake servers of these services use as well.
package httpapi

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/backing"
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

// AppendResponse is the log's response to an append.
type AppendResponse struct {
	First backing.Offset `json:"first"`
}

// ReadRequest asks the log for records.
type ReadRequest struct {
	Stream string         `json:"stream"`
	After  backing.Offset `json:"after"`
	Limit  int            `json:"limit"`
	WaitMS int64          `json:"wait_ms"`
}

// ReadResponse is the log's response to a read.
type ReadResponse struct {
	backing.Page
	// Expired is set if records after the requested offset are no longer retained.
	Expired bool `json:"expired,omitempty"`
}

// ListRequest asks for the instance list.
type ListRequest struct{}

// ListResponse is the instance list.
type ListResponse struct {
	Instances []backing.ListedInstance `json:"instances"`
}

// FetchRequest asks the weight store for a checkpoint.
type FetchRequest struct {
	Checkpoint string `json:"checkpoint"`
	Upstream   string `json:"upstream"`
}

// FetchResponse is the weight store's response to a fetch.
type FetchResponse struct {
	Throttled bool `json:"throttled,omitempty"`
}
