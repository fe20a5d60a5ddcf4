package fairqueue

// Options configure a Queue.
type Options struct {
	// Limit is the maximum number of waiting requests. Default 2048.
	Limit int
	// BulkShare is the fraction of each team's service that is guaranteed to bulk
	// requests, above 0 and below 1. Default 0.2.
	BulkShare float64
}

func (o Options) withDefaults() Options {
	if o.Limit <= 0 {
		o.Limit = 2048
	}
	if o.BulkShare <= 0 || o.BulkShare >= 1 {
		o.BulkShare = 0.2
	}
	return o
}
