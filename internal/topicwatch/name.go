package topicwatch

// Name is the name of a topic.
type Name string

// The topics.
const (
	Operators Name = "operators"
	Upstreams Name = "upstreams"
	Members   Name = "members"
	// Spending holds the token quota checkpoints of entry instances, which an
	// instance reads when it starts.
	Spending Name = "spending"
	// Crashes holds the reports of entry instances on upstreams that crashed.
	Crashes Name = "crashes"
	// Streams holds the records of entry instances on which software versions began streams.
	// It is a log: its records expire and none replaces another.
	Streams Name = "streams"
	// Duties holds the claims of duties that one entry instance has at a time, and what their
	// holders did. Each record is appended on the condition that its writer knows all before it.
	Duties Name = "duties"
)
