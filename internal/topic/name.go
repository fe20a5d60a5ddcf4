package topic

// Name names a topic.
type Name string

// The topics that are followed.
const (
	Operators Name = "operators"
	Upstreams Name = "upstreams"
	Members   Name = "members"
)
