package topic

// Name names a topic.
type Name string

// The topics.
const (
	Operators Name = "operators"
	Upstreams Name = "upstreams"
	Members   Name = "members"
	// Spending has the checkpoints of entry instances; it is read at their start.
	Spending Name = "spending"
)
