package settings

// ManagedBounds are the platform's bounds.
type ManagedBounds struct {
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS float64 `json:"grace_s"`
	// RetryRatio, RetryWindowS and RetrySlack bound repeated arrivals at a service.
	RetryRatio   float64 `json:"retry_ratio"`
	RetryWindowS float64 `json:"retry_window_s"`
	RetrySlack   float64 `json:"retry_slack"`
	// QuotaWindowS is the window over which a team's tokens are counted, in seconds.
	QuotaWindowS float64 `json:"quota_window_s"`
	// QuotaOver and QuotaSlack are the tolerances of a team's rate.
	QuotaOver  float64 `json:"quota_over"`
	QuotaSlack float64 `json:"quota_slack"`
	// ColdOver and ColdSlack bound the requests to a cold upstream.
	ColdOver  float64 `json:"cold_over"`
	ColdSlack float64 `json:"cold_slack"`
	// LoadWindowS and LoadOver bound the loads from the weight store.
	LoadWindowS float64 `json:"load_window_s"`
	LoadOver    float64 `json:"load_over"`
}
