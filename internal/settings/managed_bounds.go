package settings

// ManagedBounds are the bounds that the platform sets.
type ManagedBounds struct {
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS float64 `json:"grace_s"`
	// RetryRatio, RetryWindowS (in seconds) and RetrySlack bound the retries at a
	// service.
	RetryRatio   float64 `json:"retry_ratio"`
	RetryWindowS float64 `json:"retry_window_s"`
	RetrySlack   float64 `json:"retry_slack"`
	// QuotaWindowS is the window over which a team's tokens are counted, in seconds.
	QuotaWindowS float64 `json:"quota_window_s"`
	// QuotaOver and QuotaSlack are how far a team may exceed its rate.
	QuotaOver  float64 `json:"quota_over"`
	QuotaSlack float64 `json:"quota_slack"`
	// ColdOver and ColdSlack bound the requests to an upstream that is still warming
	// up.
	ColdOver  float64 `json:"cold_over"`
	ColdSlack float64 `json:"cold_slack"`
	// LoadWindowS (in seconds) and LoadOver bound the loads from the weight store.
	LoadWindowS float64 `json:"load_window_s"`
	LoadOver    float64 `json:"load_over"`
}
