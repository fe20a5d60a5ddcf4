package once

// StatusRequest is the query of GET /once/status.
type StatusRequest struct {
	CallID
}
