package configcheck

import "github.com/jacinthbend/jacinthbend/internal/config"

// Code is the kind of a finding. The codes of errors are the values of config.Rule.
type Code string

// Codes of entries that no request can reach.
const (
	CodeTeamWithoutKey Code = "team_without_key"
	CodeNoCaller       Code = "no_caller"
	CodeTeamExcluded   Code = "team_excluded"
	CodeUnusedPool     Code = "unused_pool"
	CodeNoUpstream     Code = "no_upstream"
	CodeAllOut         Code = "all_data_centres_out"
	CodeUnlisted       Code = "unlisted_data_centre"
)

// Codes of limits that contradict each other.
const (
	CodeBurstBelowRequest    Code = "burst_below_request"
	CodeCostOverBurst        Code = "cost_over_burst"
	CodeReplicasOverBase     Code = "replicas_over_base_model"
	CodeReplicasOverUpstream Code = "replicas_over_upstreams"
	CodeMemoryOverUpstreams  Code = "memory_over_upstreams"
	CodeLoadsOverDeadline    Code = "loads_over_deadline"
	CodeWindowBelowDeadline  Code = "window_below_deadline"
	CodeBulkShareIgnored     Code = "bulk_share_ignored"
)

// Codes of changes.
const (
	CodeAdded           Code = "added"
	CodeTeamRemoved     Code = "team_removed"
	CodeKeyWithdrawn    Code = "key_withdrawn"
	CodeKeyRenamed      Code = "key_renamed"
	CodeKeyReplaced     Code = "key_replaced"
	CodeKeyMoved        Code = "key_moved"
	CodeCentreRemoved   Code = "data_centre_removed"
	CodeCentreOut       Code = "data_centre_out"
	CodeCentreIn        Code = "data_centre_in"
	CodePoolRemoved     Code = "pool_removed"
	CodePoolChanged     Code = "pool_changed"
	CodeModelRemoved    Code = "model_removed"
	CodeAdapterRemoved  Code = "adapter_removed"
	CodeBaseChanged     Code = "base_model_changed"
	CodeVersionChanged  Code = "version_changed"
	CodeRouteDropped    Code = "route_dropped"
	CodeRouteOpened     Code = "route_opened"
	CodeRouteClosed     Code = "route_closed"
	CodeRepeatsAllowed  Code = "repeats_allowed"
	CodeRepeatsDenied   Code = "repeats_denied"
	CodeMethodAdded     Code = "method_added"
	CodeMethodDropped   Code = "method_dropped"
	CodeAccessGranted   Code = "access_granted"
	CodeAccessWithdrawn Code = "access_withdrawn"
	CodeFencingChanged  Code = "fencing_changed"
	CodeLowered         Code = "lowered"
	CodeRaised          Code = "raised"
	CodeChanged         Code = "changed"
	CodeSameMeaning     Code = "same_meaning"
)

// Codes returns the codes of all findings.
func Codes() []Code {
	var out []Code
	for _, rule := range config.Rules() {
		out = append(out, Code(rule))
	}
	return append(out,
		CodeTeamWithoutKey, CodeNoCaller, CodeTeamExcluded, CodeUnusedPool, CodeNoUpstream, CodeAllOut, CodeUnlisted,
		CodeBurstBelowRequest, CodeCostOverBurst, CodeReplicasOverBase, CodeReplicasOverUpstream, CodeMemoryOverUpstreams,
		CodeLoadsOverDeadline, CodeWindowBelowDeadline, CodeBulkShareIgnored,
		CodeAdded, CodeTeamRemoved, CodeKeyWithdrawn, CodeKeyRenamed, CodeKeyReplaced, CodeKeyMoved, CodeCentreRemoved,
		CodeCentreOut, CodeCentreIn, CodePoolRemoved, CodePoolChanged, CodeModelRemoved, CodeAdapterRemoved,
		CodeBaseChanged, CodeVersionChanged, CodeRouteDropped, CodeRouteOpened, CodeRouteClosed, CodeRepeatsAllowed,
		CodeRepeatsDenied, CodeMethodAdded, CodeMethodDropped, CodeAccessGranted, CodeAccessWithdrawn, CodeFencingChanged,
		CodeLowered, CodeRaised, CodeChanged, CodeSameMeaning,
	)
}
