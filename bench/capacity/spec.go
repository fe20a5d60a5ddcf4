package capacity

// Spec selects one benchmark of the workspace and describes the cost that it measures.
type Spec struct {
	// Package is the path below internal.
	Package string
	// Prefix and Suffix select the sub-benchmarks. The size is one of the numbers in
	// the name after Prefix.
	Prefix string
	Suffix string
	// SizeIndex is the index of the size among these numbers, from 0.
	SizeIndex int
	// Metric is the unit of the benchmark's value.
	Metric string
	// Name, Per and Target are those of the LinearCost.
	Name   string
	Per    string
	Target float64
}

// Target sizes, from section 2.5 of the design.
const (
	targetCheckpoints          = 13190
	targetMembers              = 7200
	targetMembersPerDataCentre = 1440
	targetEntries              = 1600
	targetUpstreams            = 5600
	// targetTeams is an assumption, as the design gives no number of teams. The
	// capacity page says so.
	targetTeams = 200
)

// Specs are the benchmarks of the capacity page.
var Specs = []Spec{
	{"controlstate", "BenchmarkViewMemory/", "", 0, "KiB/view", "view in memory", "checkpoints (with members in proportion)", targetCheckpoints},
	{"controlstate", "BenchmarkApply/", "/place.homes", 0, "ns/op", "fold a homes record", "checkpoints", targetCheckpoints},
	{"controlstate", "BenchmarkApply/", "/config.change", 0, "ns/op", "fold a configuration change", "checkpoints", targetCheckpoints},
	{"controlstate", "BenchmarkApply/", "/member.join", 1, "ns/op", "fold a join", "members", targetMembers},
	{"controlstate", "BenchmarkSnapshot/", "/encode", 0, "ns/op", "encode a snapshot", "checkpoints", targetCheckpoints},
	{"controlstate", "BenchmarkSnapshot/", "/decode", 0, "ns/op", "decode a snapshot", "checkpoints", targetCheckpoints},
	{"controlstate", "BenchmarkSnapshot/", "/encode", 0, "KiB", "snapshot size", "checkpoints", targetCheckpoints},
	{"relay", "BenchmarkPullAnswer/", "records", 0, "bytes", "pull answer", "records", 1},
	{"relay", "BenchmarkPullAnswer/", "records", 0, "ns/op", "make a pull answer", "records", 1},
	{"relay", "BenchmarkOrder/", "members", 0, "ns/op", "order a data centre's members", "members of a data centre", targetMembersPerDataCentre},
	{"freshness", "BenchmarkConfirm/", "centres", 0, "ns/op", "judge an outage", "data centres", 5},
	{"budget", "BenchmarkGrant/", "", 0, "ns/op", "answer a grant request", "entry instances", targetEntries},
	{"budget", "BenchmarkSpend/", "", 0, "ns/op", "spend from a grant", "teams", targetTeams},
	{"budget", "BenchmarkObserve/", "", 0, "ns/op", "take note of a membership change", "teams (1,600 entry instances)", targetTeams},
	{"budget", "BenchmarkMemory/", "", 0, "B/op", "budget state in memory", "teams", targetTeams},
	{"fairqueue", "BenchmarkQueue/", "", 0, "ns/op", "queue and dispatch a request", "waiting requests", 2048},
	{"routing", "BenchmarkChoose/homes=", "/prefixes=0", 0, "ns/op", "choose an upstream", "homes", 4},
	{"assignment", "BenchmarkPlan/first/", "", 1, "ns/op", "first plan", "checkpoints (with upstreams in proportion)", targetCheckpoints},
	{"assignment", "BenchmarkPlan/rest/", "", 1, "ns/op", "plan after a change", "checkpoints (with upstreams in proportion)", targetCheckpoints},
	{"loadqueue", "BenchmarkDispatch/", "", 0, "ns/op", "grant a load slot", "waiting loads", 1715},
	{"residency", "BenchmarkReplicaMemory/", "", 0, "B/checkpoint", "account of a checkpoint at an agent", "checkpoints", 200},
	{"residency", "BenchmarkAcquireLoaded/", "", 0, "ns/op", "acquire a loaded checkpoint", "checkpoints", 200},
	{"atmostonce", "BenchmarkWriter/", "", 0, "ns/intent", "write an intent", "identities held", 40000},
	{"atmostonce", "BenchmarkPartitionState/", "", 0, "B/identity", "partition fold in memory, each", "identities held", 40000},
	{"atmostonce/attempt", "BenchmarkTable/", "", 0, "ns/op", "one attempt in the agent's table", "attempts held", 16384},
}
