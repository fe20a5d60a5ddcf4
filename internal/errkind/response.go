package errkind

import "net/http"

// Ran says whether an upstream may have started to run the request.
type Ran string

// Values of Ran. There is no "yes", because a request that ran to completion gets
// a normal response and not an error.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Response is the response to callers for one kind of error.
type Response struct {
	// Status is the HTTP status sent to the caller.
	Status int
	// Ran is what the kind alone implies. Code that is less sure must change RanNo
	// to RanUnknown, but must never change RanUnknown to RanNo.
	Ran Ran
	// Retryable says whether the same request may succeed later.
	Retryable bool
	// Advice tells the caller what to do.
	Advice string
}

var responses = map[Kind]Response{
	InvalidRequest:      {http.StatusBadRequest, RanNo, false, "Correct the named field or header and send the request again."},
	Unauthenticated:     {http.StatusUnauthorized, RanNo, false, "Send a valid team key in the Authorization header as a bearer token."},
	KeyWithdrawn:        {http.StatusUnauthorized, RanNo, false, "The key was withdrawn; ask an operator for a new one."},
	Forbidden:           {http.StatusForbidden, RanNo, false, "The team may not use this model or route; ask an operator."},
	ModelNotFound:       {http.StatusNotFound, RanNo, false, "Use a model that GET /v1/models lists."},
	RouteNotFound:       {http.StatusNotFound, RanNo, false, "Check the path of the request."},
	MethodNotAllowed:    {http.StatusMethodNotAllowed, RanNo, false, "Use a method that the route accepts."},
	BodyTooLarge:        {http.StatusRequestEntityTooLarge, RanNo, false, "Send a smaller body."},
	HeadersTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, RanNo, false, "Send fewer or shorter headers."},
	OverRate:            {http.StatusTooManyRequests, RanNo, true, "The team's token rate is used up; retry after the given time."},
	QueueFull:           {http.StatusServiceUnavailable, RanNo, true, "The queue is full; retry after the given time."},
	DeadlineUnmet:       {http.StatusGatewayTimeout, RanNo, true, "The request could not start before its deadline; allow more time or retry later."},
	DeadlinePassed:      {http.StatusGatewayTimeout, RanUnknown, false, "The deadline passed while the request was running."},
	UpstreamBusy:        {http.StatusServiceUnavailable, RanNo, true, "All upstreams for this request are at their limit; retry after the given time."},
	UpstreamUnavailable: {http.StatusServiceUnavailable, RanNo, true, "No upstream for this request is available; retry after the given time."},
	UpstreamFailed:      {http.StatusBadGateway, RanUnknown, false, "The upstream failed while it ran the request."},
	UpstreamCrashed:     {http.StatusBadGateway, RanUnknown, false, "The upstream crashed while it ran the request."},
	StreamCut:           {http.StatusBadGateway, RanUnknown, false, "The answer ended early; what was received is incomplete."},
	StreamNotResumable:  {http.StatusServiceUnavailable, RanNo, true, "No upstream of the software version that began the stream can go on with it, or the version is not known; start the request anew, without the id of the last event."},
	LoadFailed:          {http.StatusServiceUnavailable, RanNo, true, "The model could not be loaded; retry after the given time."},
	MemoryFull:          {http.StatusServiceUnavailable, RanNo, true, "No upstream has memory for the model now; retry after the given time."},
	NotHome:             {http.StatusMisdirectedRequest, RanNo, true, "The upstream is not decided to hold this model; the sender's view is behind."},
	Fenced:              {http.StatusConflict, RanNo, true, "The attempt was fenced before it ran."},
	ViewStale:           {http.StatusServiceUnavailable, RanNo, true, "This instance has lost contact with the fleet; retry through another one."},
	Draining:            {http.StatusServiceUnavailable, RanNo, true, "This instance is shutting down; retry through another one."},
	DataCentreOut:       {http.StatusServiceUnavailable, RanNo, true, "This data centre is out of service; retry through another one."},
	KeyReused:           {http.StatusUnprocessableEntity, RanNo, false, "The idempotency key was used with a different request; use a new key."},
	KeyExpired:          {http.StatusGone, RanNo, false, "The idempotency key is older than results are kept; look up the outcome elsewhere before using a new key."},
	InProgress:          {http.StatusConflict, RanUnknown, true, "An earlier request with this idempotency key is still running; look up its status."},
	OutcomeUnknown:      {http.StatusBadGateway, RanUnknown, false, "Whether the request ran cannot be told; look up its status before using a new key."},
	RequestNotFound:     {http.StatusNotFound, RanNo, false, "No request with this idempotency key is known."},
	RequestQuarantined:  {http.StatusUnprocessableEntity, RanNo, false, "This request crashed several upstreams and is refused; change it."},
	ContentQuarantined:  {http.StatusServiceUnavailable, RanNo, true, "Requests with the named content crashed several upstreams; change it, or retry after the given time."},
	LogUnavailable:      {http.StatusServiceUnavailable, RanNo, true, "The platform log is unavailable and this call needs it; retry after the given time."},
	ConfigConflict:      {http.StatusConflict, RanNo, false, "Another change was published first; review the difference and publish again on the new version."},
	ConfigInvalid:       {http.StatusUnprocessableEntity, RanNo, false, "Correct the listed configuration errors."},
	Internal:            {http.StatusInternalServerError, RanUnknown, false, "An internal error; report it with the request id."},
}

// ResponseFor returns the response for k. An unlisted kind gets that of Internal.
func ResponseFor(k Kind) Response {
	if r, ok := responses[k]; ok {
		return r
	}
	return responses[Internal]
}

// IsListed reports whether k is in the closed list of kinds. A kind received from
// another process may be unlisted.
func IsListed(k Kind) bool {
	_, ok := responses[k]
	return ok
}

// All returns all kinds in no particular order.
func All() []Kind {
	out := make([]Kind, 0, len(responses))
	for k := range responses {
		out = append(out, k)
	}
	return out
}
