package streamorigin

import "time"

// entry is what is known of one stream.
type entry struct {
	origin Origin
	// upstream is the id of the upstream that began the stream, if this instance sent its
	// first event.
	upstream string
	at       time.Time
	// ambiguous tells that the version may be another one.
	ambiguous bool
}
