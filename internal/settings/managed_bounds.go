package settings

// ManagedBounds holds the bounds that the platform sets. Those on retries, tokens,
// requests and loads apply to all instances together.
type ManagedBounds struct {
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS float64 `json:"grace_s"`
	// ConfigApplyMS is the time within which a confirmed change of the configuration must be in
	// force, in milliseconds; 0 if the platform does not say.
	ConfigApplyMS float64 `json:"config_apply_ms,omitempty"`
	// DrainMS is for how long after its announcement a leaving upstream still takes requests, in
	// milliseconds; 0 if the platform does not say.
	DrainMS float64 `json:"drain_ms,omitempty"`
	// RetryRatio is the number of retries allowed per request to a service, within
	// RetryWindowS (in seconds). RetrySlack is the number of retries allowed per
	// window in addition.
	RetryRatio   float64 `json:"retry_ratio"`
	RetryWindowS float64 `json:"retry_window_s"`
	RetrySlack   float64 `json:"retry_slack"`
	// QuotaWindowS is the window over which a team's tokens are counted, in seconds.
	QuotaWindowS float64 `json:"quota_window_s"`
	// QuotaOver is the fraction by which a team may exceed its allowance in a
	// window. QuotaSlack is the number of tokens allowed in addition.
	QuotaOver  float64 `json:"quota_over"`
	QuotaSlack float64 `json:"quota_slack"`
	// ColdOver and ColdSlack bound the requests to an upstream that is still warming
	// up: in any second, ColdOver times the cold rate of its service, plus ColdSlack.
	ColdOver  float64 `json:"cold_over"`
	ColdSlack float64 `json:"cold_slack"`
	// LoadWindowS (in seconds) is the window over which loads from the weight store
	// are counted. LoadOver is the permitted rate divided by the configured rate.
	LoadWindowS float64 `json:"load_window_s"`
	LoadOver    float64 `json:"load_over"`
	// UsageWindowS is the length of a window of usage reports, in seconds; default 5. A count
	// may differ from the true one by the fraction UsageTolerance, default 0.05. A report is
	// due UsageLateS seconds after the end of its window; default 10.
	UsageWindowS   float64 `json:"usage_window_s,omitempty"`
	UsageTolerance float64 `json:"usage_tolerance,omitempty"`
	UsageLateS     float64 `json:"usage_late_s,omitempty"`
	// DutyLeaseMS is within which time two holders of a duty must not take turns, in
	// milliseconds; default 3000.
	DutyLeaseMS float64 `json:"duty_lease_ms,omitempty"`
	// RequireFence tells that the platform checks the fencing tokens of calls that are a duty.
	// They are sent in any case.
	RequireFence bool `json:"require_fence,omitempty"`
}

// Defaults of the bounds of duties, which are the platform's.
const (
	defaultUsageWindowS   = 5
	defaultUsageTolerance = 0.05
	defaultUsageLateS     = 10
	defaultDutyLeaseMS    = 3000
)

func (b *ManagedBounds) setDutyDefaults() {
	for _, d := range []struct {
		field *float64
		value float64
	}{
		{&b.UsageWindowS, defaultUsageWindowS},
		{&b.UsageTolerance, defaultUsageTolerance},
		{&b.UsageLateS, defaultUsageLateS},
		{&b.DutyLeaseMS, defaultDutyLeaseMS},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}
