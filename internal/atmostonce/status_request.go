package atmostonce

// StatusRequest is the body of POST /once/status.
type StatusRequest struct {
	CallID
}
