package config

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestValidate checks each semantic rule: a document that breaks one rule must
// be rejected with the JSON path of the wrong value and with no other path.
func TestValidate(t *testing.T) {
	cases := map[string]struct {
		doc  Document
		path Path
	}{
		"team id":              {edited(teams, "Bad", func(v *Team) { *v = sample().Teams["alpha"] }), "$.teams.Bad"},
		"rate zero":            {edited(teams, "alpha", func(v *Team) { v.RateTokensPerS = 0 }), "$.teams.alpha.rate_tokens_per_s"},
		"rate not a number":    {edited(teams, "alpha", func(v *Team) { v.RateTokensPerS = math.NaN() }), "$.teams.alpha.rate_tokens_per_s"},
		"burst below 2 grants": {edited(teams, "alpha", func(v *Team) { v.BurstTokens = 99 }), "$.teams.alpha.burst_tokens"},
		"weight negative":      {edited(teams, "alpha", func(v *Team) { v.Weight = -1 }), "$.teams.alpha.weight"},
		"key of no team":       {edited(keys, "k1", func(v *Key) { v.Team = "x" }), "$.keys.k1.team"},
		"hash upper case":      {edited(keys, "k1", func(v *Key) { v.SHA256 = "A" + v.SHA256[1:] }), "$.keys.k1.sha256"},
		"hash short":           {edited(keys, "k1", func(v *Key) { v.SHA256 = v.SHA256[1:] }), "$.keys.k1.sha256"},
		"hash twice":           {edited(keys, "k2", func(v *Key) { *v = sample().Keys["k1"] }), "$.keys.k2.sha256"},
		"note long":            {edited(keys, "k1", func(v *Key) { v.Note = longNote }), "$.keys.k1.note"},
		"region empty":         {edited(dcs, "dc.1", func(v *DataCentre) { v.Region = "" }), "$.data_centres['dc.1'].region"},
		"state unknown":        {edited(dcs, "dc.1", func(v *DataCentre) { v.State = "off" }), "$.data_centres['dc.1'].state"},
		"pool kind":            {edited(pools, "p", func(v *Pool) { v.Kind = "cpu" }), "$.pools.p.kind"},
		"pool without memory":  {edited(pools, "p", func(v *Pool) { v.Kind = PoolEngine }), "$.pools.p.memory_mib"},
		"service with memory":  {edited(pools, "svc", func(v *Pool) { v.MemoryMiB = 1 }), "$.pools.svc.memory_mib"},
		"service with fencing": {edited(pools, "svc", func(v *Pool) { v.ChecksFencing = true }), "$.pools.svc.checks_fencing"},
		"start above maximum":  {edited(pools, "gpu", func(v *Pool) { v.StartInFlight = 65 }), "$.pools.gpu.start_in_flight"},
		"in flight negative":   {edited(pools, "gpu", func(v *Pool) { v.MaxInFlight = -1 }), "$.pools.gpu.max_in_flight"},
		"model pool missing":   {edited(models, "m", func(v *Model) { v.Pool = "x" }), "$.models.m.pool"},
		"model on service":     {edited(models, "m", func(v *Model) { v.Pool = "svc" }), "$.models.m.pool"},
		"model too large":      {edited(models, "m2", func(v *Model) { *v = Model{Pool: "gpu", MemoryMiB: 1001} }), "$.models.m2.memory_mib"},
		"min above default":    {edited(models, "m", func(v *Model) { v.MinReplicas = 2 }), "$.models.m.min_replicas"},
		"max negative":         {edited(models, "m", func(v *Model) { v.MaxReplicas = -1 }), "$.models.m.max_replicas"},
		"model team missing":   {edited(models, "m", func(v *Model) { v.Teams = []string{"alpha", "x"} }), "$.models.m.teams[1]"},
		"team repeated":        {edited(models, "m", func(v *Model) { v.Teams = []string{"alpha", "alpha"} }), "$.models.m.teams[1]"},
		"adapter without base": {edited(adapters, "a", func(v *Adapter) { v.Model = "x" }), "$.adapters.a.model"},
		"adapter too large":    {edited(adapters, "a", func(v *Adapter) { v.MemoryMiB = 101 }), "$.adapters.a.memory_mib"},
		"adapter memory":       {edited(adapters, "a", func(v *Adapter) { v.MemoryMiB = 0 }), "$.adapters.a.memory_mib"},
		"route to engines":     {edited(routes, "r", func(v *Route) { v.Pool = "gpu" }), "$.routes.r.pool"},
		"route method":         {edited(routes, "r", func(v *Route) { v.Methods = []string{"post"} }), "$.routes.r.methods[0]"},
		"open with teams":      {edited(routes, "r", func(v *Route) { v.Open = true; v.Teams = []string{"alpha"} }), "$.routes.r.teams"},
		"open with cost":       {edited(routes, "r", func(v *Route) { v.Open = true; v.CostTokens = 1 }), "$.routes.r.cost_tokens"},
		"bulk share":           {editedLimits(func(v *Limits) { v.BulkShare = 1.1 }), "$.limits.bulk_share"},
		"body above server's":  {editedLimits(func(v *Limits) { v.MaxBodyBytes = 16<<20 + 1 }), "$.limits.max_body_bytes"},
		"deadline above most":  {editedLimits(func(v *Limits) { v.MaxDeadlineMS = 1000 }), "$.limits.default_deadline_ms"},
	}
	is.New(t).Equal(Validate(sample()), nil)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			problems := Validate(c.doc)
			is.True(len(problems) > 0)                 // accepted
			is.Equal(problems.Under(c.path), problems) // reported at another path
		})
	}
}

// TestParseReportsEveryProblem guards against reporting only the first
// structural or semantic error.
func TestParseReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"teams": {"t": {"rate_tokens_per_s": 9, "burst_tokens": 1, "wieght": 2}}, "adapters": {"a": {"model": "x"}}}`))
	want := []Path{"$.adapters.a.memory_mib", "$.adapters.a.memory_mib", "$.adapters.a.model", "$.teams.t.burst_tokens", "$.teams.t.wieght"}
	got := []Path{}
	for _, p := range err.(Problems) {
		got = append(got, p.Path)
	}
	is.Equal(got, want)
}

// TestDecodeRefuses guards strict decoding: input that a lenient decoder would
// silently drop or overwrite must be an error with its JSON path.
func TestDecodeRefuses(t *testing.T) {
	cases := map[string]Path{
		`{"team": {}}`:  "$.team",
		`{"Teams": {}}`: "$.Teams",
		`{"models": {"m.1": {"pool": "p", "memory_mib": 1, "x-y": 1}}}`:   "$.models['m.1']['x-y']",
		`{"teams": {"t": {"rate_tokens_per_s": "9", "burst_tokens": 1}}}`: "$.teams.t.rate_tokens_per_s",
		`{"pools": {"p": {"kind": "engine", "memory_mib": 1.5}}}`:         "$.pools.p.memory_mib",
		`{"pools": {"p": {"kind": "engine"}, "p": {"kind": "service"}}}`:  "$.pools.p",
		`{"routes": {"r": {"pool": "p", "methods": ["GET", 7]}}}`:         "$.routes.r.methods[1]",
		`{"keys": {"k": {"team": "t"}}}`:                                  "$.keys.k.sha256",
		`{"limits": {"store_loads": null}}`:                               "$.limits.store_loads",
		`{"limits": {"store_loads": 1e400}}`:                              "$",
		`{} {}`:                                                           "$",
		`[]`:                                                              "$",
		``:                                                                "$",
	}
	for data, path := range cases {
		t.Run(data, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(data))
			problems, ok := err.(Problems)
			is.True(ok)                      // accepted
			is.Equal(problems[0].Path, path) // path
		})
	}
}
