package configcheck

import (
	"os"
	"strings"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/matryer/is"
)

// sample returns a new copy of the sample configuration.
func sample(t *testing.T) config.Document {
	data, err := os.ReadFile("../../docs/examples/fleet.json")
	is.New(t).NoErr(err)
	doc, err := config.Parse(data)
	is.New(t).NoErr(err)
	return doc
}

// sampleFleet is a fleet that can serve the sample configuration.
func sampleFleet() []Instance {
	return []Instance{{"dc-1", ""}, {"dc-1", "engines"}, {"dc-2", "engines"}, {"dc-2", "tools"}}
}

// TestSample guards against findings in a configuration that has nothing wrong, and
// against changes between equal documents.
func TestSample(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Warnings(sample(t), nil)), 0)
	is.Equal(len(Warnings(sample(t), sampleFleet())), 0)
	is.Equal(len(Changes(sample(t), sample(t))), 0)
}

// set edits one entry of a section.
func set[V any](entries map[string]V, id string, edit func(*V)) {
	v := entries[id]
	edit(&v)
	entries[id] = v
}

const otherDigest = "0000000000000000000000000000000000000000000000000000000000000009"

type doc = config.Document

// errorCases map the code of an error to a document with this error alone, and its path.
var errorCases = map[Code][2]string{
	"syntax":        {`{`, "$"},
	"unknown_field": {`{"tames": {}}`, "$.tames"},
	"missing_field": {`{"data_centres": {"d": {}}}`, "$.data_centres.d.region"},
	"repeated":      {`{"limits": {}, "limits": {}}`, "$.limits"},
	"wrong_type":    {`{"limits": {"store_loads": "4"}}`, "$.limits.store_loads"},
	"bad_reference": {`{"routes": {"r": {"pool": "p"}}}`, "$.routes.r.pool"},
	"out_of_range":  {`{"limits": {"bulk_share": 2}}`, "$.limits.bulk_share"},
	"bad_format":    {`{"data_centres": {"D": {"region": "r"}}}`, "$.data_centres.D"},
	"conflict":      {`{"pools": {"p": {"kind": "service", "memory_mib": 1}}}`, "$.pools.p.memory_mib"},
}

type editCase struct {
	code Code
	path string
	edit func(d *doc)
}

var warningCases = []editCase{
	{CodeTeamWithoutKey, "$.teams.beta", func(d *doc) { delete(d.Keys, "beta-1"); delete(d.Adapters, "formal") }},
	{CodeNoCaller, "$.models.m", func(d *doc) {
		d.Keys, d.Teams, d.Adapters, d.Routes, d.Pools = nil, nil, nil, nil, map[string]config.Pool{"engines": d.Pools["engines"]}
		d.Models = map[string]config.Model{"m": {Pool: "engines", MemoryMiB: 1}}
	}},
	{CodeNoCaller, "$.routes.search", func(d *doc) {
		d.Teams["c"] = d.Teams["beta"]
		set(d.Routes, "search", func(r *config.Route) { r.Teams = []string{"c"} })
	}},
	{CodeNoCaller, "$.adapters.formal", func(d *doc) {
		set(d.Models, "haiku", func(m *config.Model) { m.Teams = []string{"alpha"} })
	}},
	{CodeTeamExcluded, "$.adapters.formal.teams[0]", func(d *doc) {
		set(d.Models, "haiku", func(m *config.Model) { m.Teams = []string{"alpha"} })
	}},
	{CodeUnusedPool, "$.pools.p", func(d *doc) { d.Pools["p"] = config.Pool{Kind: config.PoolService} }},
	{CodeAllOut, "$.data_centres", func(d *doc) {
		for id := range d.DataCentres {
			set(d.DataCentres, id, func(dc *config.DataCentre) { dc.State = config.DataCentreOut })
		}
	}},
	{CodeBurstBelowRequest, "$.teams.beta.burst_tokens", func(d *doc) {
		set(d.Teams, "beta", func(t *config.Team) { t.BurstTokens = 505.9 })
	}},
	{CodeCostOverBurst, "$.routes.search.cost_tokens", func(d *doc) {
		set(d.Routes, "search", func(r *config.Route) { r.CostTokens = 3751 })
	}},
	{CodeReplicasOverBase, "$.adapters.formal.max_replicas", func(d *doc) {
		set(d.Adapters, "formal", func(a *config.Adapter) { a.MaxReplicas = 5 })
	}},
	{CodeLoadsOverDeadline, "$.limits.store_loads_per_s", func(d *doc) { d.Limits.StoreLoadsPerS = 0.049 }},
	{CodeWindowBelowDeadline, "$.limits.idempotency_window_s", func(d *doc) { d.Limits.IdempotencyWindowS = 599 }},
	{CodeBulkShareIgnored, "$.limits.bulk_share", func(d *doc) { d.Limits.BulkShare = 1 }},
	// The fleet has one upstream of each kind left in service.
	{CodeNoUpstream, "$.pools.tools", func(d *doc) {
		set(d.DataCentres, "dc-2", func(dc *config.DataCentre) { dc.State = config.DataCentreOut })
	}},
	{CodeUnlisted, "$.data_centres['dc-2']", func(d *doc) { delete(d.DataCentres, "dc-2") }},
	{CodeReplicasOverUpstream, "$.models.haiku.min_replicas", func(d *doc) {
		set(d.Models, "haiku", func(m *config.Model) { m.MinReplicas = 3 })
	}},
	{CodeMemoryOverUpstreams, "$.pools.engines", func(d *doc) {
		set(d.Models, "sonnet", func(m *config.Model) { m.MinReplicas = 2; m.MemoryMiB = 81920 })
	}},
}

// riskCases and changeCases list the changes that edits of the sample cause.
var riskCases = []editCase{
	{CodeTeamRemoved, "$.teams.beta", func(d *doc) { delete(d.Teams, "beta") }},
	{CodeLowered, "$.teams.beta.rate_tokens_per_s", func(d *doc) { set(d.Teams, "beta", func(t *config.Team) { t.RateTokensPerS = 499 }) }},
	{CodeLowered, "$.teams.beta.burst_tokens", func(d *doc) { set(d.Teams, "beta", func(t *config.Team) { t.BurstTokens-- }) }},
	{CodeLowered, "$.teams.alpha.weight", func(d *doc) { set(d.Teams, "alpha", func(t *config.Team) { t.Weight = 0.9 }) }},
	{CodeKeyWithdrawn, "$.keys['alpha-1']", func(d *doc) { delete(d.Keys, "alpha-1") }},
	{CodeKeyReplaced, "$.keys['alpha-1'].sha256", func(d *doc) { set(d.Keys, "alpha-1", func(k *config.Key) { k.SHA256 = otherDigest }) }},
	{CodeKeyMoved, "$.keys['alpha-1'].team", func(d *doc) { set(d.Keys, "alpha-1", func(k *config.Key) { k.Team = "beta" }) }},
	{CodeKeyMoved, "$.keys['alpha-1']", func(d *doc) {
		d.Keys["k"] = config.Key{Team: "beta", SHA256: d.Keys["alpha-1"].SHA256}
		delete(d.Keys, "alpha-1")
	}},
	{CodeCentreRemoved, "$.data_centres['dc-1']", func(d *doc) { delete(d.DataCentres, "dc-1") }},
	{CodeCentreOut, "$.data_centres['dc-1'].state", func(d *doc) {
		set(d.DataCentres, "dc-1", func(dc *config.DataCentre) { dc.State = config.DataCentreOut })
	}},
	{CodePoolRemoved, "$.pools.tools", func(d *doc) { delete(d.Pools, "tools") }},
	{CodePoolChanged, "$.pools.tools.kind", func(d *doc) { set(d.Pools, "tools", func(p *config.Pool) { p.Kind = config.PoolEngine }) }},
	{CodeLowered, "$.pools.engines.memory_mib", func(d *doc) { set(d.Pools, "engines", func(p *config.Pool) { p.MemoryMiB-- }) }},
	{CodeLowered, "$.pools.engines.max_in_flight", func(d *doc) { set(d.Pools, "engines", func(p *config.Pool) { p.MaxInFlight-- }) }},
	{CodeLowered, "$.pools.engines.start_in_flight", func(d *doc) { set(d.Pools, "engines", func(p *config.Pool) { p.StartInFlight = 3 }) }},
	{CodeFencingChanged, "$.pools.tools.checks_fencing", func(d *doc) { set(d.Pools, "tools", func(p *config.Pool) { p.ChecksFencing = true }) }},
	{CodeModelRemoved, "$.models.sonnet", func(d *doc) { delete(d.Models, "sonnet") }},
	{CodePoolChanged, "$.models.sonnet.pool", func(d *doc) { set(d.Models, "sonnet", func(m *config.Model) { m.Pool = "p" }) }},
	{CodeVersionChanged, "$.models.sonnet.version", func(d *doc) { set(d.Models, "sonnet", func(m *config.Model) { m.Version = "" }) }},
	{CodeLowered, "$.models.haiku.min_replicas", func(d *doc) { set(d.Models, "haiku", func(m *config.Model) { m.MinReplicas = 0 }) }},
	{CodeLowered, "$.models.haiku.max_replicas", func(d *doc) { set(d.Models, "haiku", func(m *config.Model) { m.MaxReplicas = 3 }) }},
	{CodeAccessWithdrawn, "$.models.haiku.teams", func(d *doc) { set(d.Models, "haiku", func(m *config.Model) { m.Teams = []string{"alpha"} }) }},
	{CodeAccessGranted, "$.models.sonnet.teams", func(d *doc) { set(d.Models, "sonnet", func(m *config.Model) { m.Teams = nil }) }},
	{CodeAdapterRemoved, "$.adapters.formal", func(d *doc) { delete(d.Adapters, "formal") }},
	{CodeBaseChanged, "$.adapters.formal.model", func(d *doc) { set(d.Adapters, "formal", func(a *config.Adapter) { a.Model = "sonnet" }) }},
	{CodeVersionChanged, "$.adapters.formal.version", func(d *doc) { set(d.Adapters, "formal", func(a *config.Adapter) { a.Version = "2" }) }},
	{CodeLowered, "$.adapters.formal.max_replicas", func(d *doc) { set(d.Adapters, "formal", func(a *config.Adapter) { a.MaxReplicas = 1 }) }},
	{CodeRouteDropped, "$.routes.search", func(d *doc) { delete(d.Routes, "search") }},
	{CodePoolChanged, "$.routes.search.pool", func(d *doc) { set(d.Routes, "search", func(r *config.Route) { r.Pool = "p" }) }},
	{CodeRouteOpened, "$.routes.search.open", func(d *doc) { set(d.Routes, "search", func(r *config.Route) { r.Open = true }) }},
	{CodeRouteOpened, "$.routes.r", func(d *doc) { d.Routes["r"] = config.Route{Pool: "tools", Open: true} }},
	{CodeRouteClosed, "$.routes.status.open", func(d *doc) { set(d.Routes, "status", func(r *config.Route) { r.Open = false }) }},
	{CodeRepeatsAllowed, "$.routes.invoices.repeatable", func(d *doc) { set(d.Routes, "invoices", func(r *config.Route) { r.Repeatable = true }) }},
	{CodeRepeatsDenied, "$.routes.search.repeatable", func(d *doc) { set(d.Routes, "search", func(r *config.Route) { r.Repeatable = false }) }},
	{CodeMethodDropped, "$.routes.search.methods", func(d *doc) { set(d.Routes, "search", func(r *config.Route) { r.Methods = nil }) }},
	{CodeRaised, "$.routes.invoices.cost_tokens", func(d *doc) { set(d.Routes, "invoices", func(r *config.Route) { r.CostTokens = 51 }) }},
	{CodeLowered, "$.limits.max_body_bytes", func(d *doc) { d.Limits.MaxBodyBytes = 0 }},
	{CodeLowered, "$.limits.queue_requests", func(d *doc) { d.Limits.QueueRequests = 2047 }},
	{CodeLowered, "$.limits.default_deadline_ms", func(d *doc) { d.Limits.DefaultDeadlineMS = 19_999 }},
	{CodeLowered, "$.limits.max_deadline_ms", func(d *doc) { d.Limits.MaxDeadlineMS = 599_999 }},
	{CodeLowered, "$.limits.store_loads", func(d *doc) { d.Limits.StoreLoads = 3 }},
	{CodeLowered, "$.limits.store_loads_per_s", func(d *doc) { d.Limits.StoreLoadsPerS = 1.5 }},
	{CodeLowered, "$.limits.adapter_loads", func(d *doc) { d.Limits.AdapterLoads = 31 }},
	{CodeLowered, "$.limits.bulk_share", func(d *doc) { d.Limits.BulkShare = 0.1 }},
	{CodeLowered, "$.limits.idempotency_window_s", func(d *doc) { d.Limits.IdempotencyWindowS = 86_399 }},
}

var changeCases = []editCase{
	{CodeAdded, "$.models.m", func(d *doc) { d.Models["m"] = config.Model{Pool: "engines", MemoryMiB: 1} }},
	{CodeRaised, "$.teams.beta.weight", func(d *doc) { set(d.Teams, "beta", func(t *config.Team) { t.Weight = 0 }) }},
	{CodeKeyRenamed, "$.keys['alpha-1']", func(d *doc) { d.Keys["k"] = d.Keys["alpha-1"]; delete(d.Keys, "alpha-1") }},
	{CodeChanged, "$.keys['alpha-1'].note", func(d *doc) { set(d.Keys, "alpha-1", func(k *config.Key) { k.Note = "" }) }},
	{CodeCentreIn, "$.data_centres['dc-3'].state", func(d *doc) {
		set(d.DataCentres, "dc-3", func(dc *config.DataCentre) { dc.State = config.DataCentreIn })
	}},
	{CodeChanged, "$.data_centres['dc-1'].region", func(d *doc) { set(d.DataCentres, "dc-1", func(dc *config.DataCentre) { dc.Region = "x" }) }},
	{CodeFencingChanged, "$.pools.engines.checks_fencing", func(d *doc) { set(d.Pools, "engines", func(p *config.Pool) { p.ChecksFencing = false }) }},
	{CodeChanged, "$.models.haiku.memory_mib", func(d *doc) { set(d.Models, "haiku", func(m *config.Model) { m.MemoryMiB++ }) }},
	{CodeChanged, "$.adapters.formal.value", func(d *doc) { set(d.Adapters, "formal", func(a *config.Adapter) { a.Value = 1 }) }},
	{CodeAccessGranted, "$.routes.invoices.teams", func(d *doc) { set(d.Routes, "invoices", func(r *config.Route) { r.Teams = []string{"alpha", "beta"} }) }},
	{CodeAccessWithdrawn, "$.routes.search.teams", func(d *doc) { set(d.Routes, "search", func(r *config.Route) { r.Teams = []string{"beta", "alpha"} }) }},
	{CodeMethodAdded, "$.routes.status.methods", func(d *doc) { set(d.Routes, "status", func(r *config.Route) { r.Methods = []string{"HEAD", "GET"} }) }},
	{CodeLowered, "$.routes.invoices.cost_tokens", func(d *doc) { set(d.Routes, "invoices", func(r *config.Route) { r.CostTokens = 49 }) }},
	{CodeSameMeaning, "$.teams.alpha", func(d *doc) { set(d.Teams, "alpha", func(t *config.Team) { t.Weight = 1 }) }},
}

// TestFindings checks that each defect or change is reported with its code, severity
// and path, and that each code has a case. Each changed entry of a case has one changed
// field, so that a further finding is wrong. A wrong code or severity would let a
// script publish a change that it is meant to stop.
func TestFindings(t *testing.T) {
	covered := make(map[Code]bool)
	expect := func(t *testing.T, got []Finding, want Finding) {
		covered[want.Code] = true
		for _, f := range got {
			is.New(t).True(f.Message != "" && !strings.Contains(f.Message, "%!")) // malformed message
			if f.Code == want.Code && f.Severity == want.Severity && f.Path == want.Path {
				t.Log(f.Message)
				return
			}
		}
		t.Errorf("%v is missing in %v", want, got)
	}
	for code, c := range errorCases {
		_, err := config.Parse([]byte(c[0]))
		expect(t, Errors(err.(config.Problems)), Finding{Code: code, Severity: SeverityError, Path: config.Path(c[1])})
	}
	for severity, cases := range map[Severity][]editCase{SeverityWarning: warningCases, SeverityRisk: riskCases, SeverityChange: changeCases} {
		for _, c := range cases {
			base := sample(t)
			base.DataCentres["dc-3"] = config.DataCentre{Region: "x", State: config.DataCentreOut}
			next := sample(t)
			next.DataCentres["dc-3"] = base.DataCentres["dc-3"]
			c.edit(&next)
			got := Changes(base, next)
			if severity == SeverityWarning {
				got = Warnings(next, sampleFleet())
				is.New(t).Equal(config.Validate(next), nil) // a warning that validation makes unreachable
			} else {
				is.New(t).Equal(len(got), len(config.Diff(base, next))) // a finding for a field that did not change
			}
			expect(t, got, Finding{Code: c.code, Severity: severity, Path: config.Path(c.path)})
		}
	}
	for _, code := range Codes() {
		is.New(t).True(covered[code]) // no case
	}
	is.New(t).Equal(len(covered), len(Codes()))
}

// TestRisksComeFirst guards against an order in which an operator reads harmless
// changes first.
func TestRisksComeFirst(t *testing.T) {
	is := is.New(t)
	next := sample(t)
	next.Limits.StoreLoads = 9
	set(next.Models, "haiku", func(m *config.Model) { m.MaxReplicas = 3 })
	got := Changes(sample(t), next)
	is.Equal(len(got), 2)
	is.Equal(got[0].Code, CodeLowered)
	is.Equal(got[1].Code, CodeRaised)
}

// TestListTeams guards against messages that list hundreds of teams.
func TestListTeams(t *testing.T) {
	is := is.New(t)
	is.Equal(listTeams([]string{"a"}), `team "a"`)
	is.Equal(listTeams([]string{"a", "b", "c"}), "teams a, b, c")
	is.Equal(listTeams([]string{"a", "b", "c", "d"}), "teams a, b, c and 1 more")
}
