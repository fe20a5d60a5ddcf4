// Package errkind defines the closed list of error kinds that callers and other
// processes receive, and the HTTP response for each kind.
package errkind

// Kind is the reason for which a request was refused or failed. Every listed kind
// has a response.
type Kind string

// The listed kinds. A test compares docs/errors.md with this list.
const (
	InvalidRequest      Kind = "invalid_request"
	Unauthenticated     Kind = "unauthenticated"
	KeyWithdrawn        Kind = "key_withdrawn"
	Forbidden           Kind = "forbidden"
	ModelNotFound       Kind = "model_not_found"
	RouteNotFound       Kind = "route_not_found"
	MethodNotAllowed    Kind = "method_not_allowed"
	BodyTooLarge        Kind = "body_too_large"
	HeadersTooLarge     Kind = "headers_too_large"
	OverRate            Kind = "over_rate"
	QueueFull           Kind = "queue_full"
	DeadlineUnmet       Kind = "deadline_unmet"
	DeadlinePassed      Kind = "deadline_passed"
	UpstreamBusy        Kind = "upstream_busy"
	UpstreamUnavailable Kind = "upstream_unavailable"
	UpstreamFailed      Kind = "upstream_failed"
	UpstreamCrashed     Kind = "upstream_crashed"
	StreamCut           Kind = "stream_cut"
	StreamNotResumable  Kind = "stream_not_resumable"
	LoadFailed          Kind = "load_failed"
	MemoryFull          Kind = "memory_full"
	NotHome             Kind = "not_home"
	Fenced              Kind = "fenced"
	ViewStale           Kind = "view_stale"
	Draining            Kind = "draining"
	DataCentreOut       Kind = "data_centre_out"
	KeyReused           Kind = "key_reused"
	KeyExpired          Kind = "key_expired"
	InProgress          Kind = "in_progress"
	OutcomeUnknown      Kind = "outcome_unknown"
	RequestNotFound     Kind = "request_not_found"
	RequestQuarantined  Kind = "request_quarantined"
	ContentQuarantined  Kind = "content_quarantined"
	LogUnavailable      Kind = "log_unavailable"
	ConfigConflict      Kind = "config_conflict"
	ConfigInvalid       Kind = "config_invalid"
	Internal            Kind = "internal"
)
