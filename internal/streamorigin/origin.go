package streamorigin

// Origin is what began a stream.
type Origin struct {
	// Service is the service of the upstream that sent its first event.
	Service string
	// Version is the version of that upstream's software.
	Version string
}
