package attempt

// Limits bound the memory of a table. A zero field takes its default.
type Limits struct {
	// MaxRunning is the maximum number of attempts running at once. Default 1024.
	MaxRunning int
	// MaxEnded is the maximum number of ended attempts kept. Default 16384.
	MaxEnded int
	// MaxTotalResultBytes limits the total size of the result bodies kept, in
	// bytes. Default 8 MiB.
	MaxTotalResultBytes int
}

// WithDefaults returns l with every zero field set to its default.
func (l Limits) WithDefaults() Limits {
	if l.MaxRunning == 0 {
		l.MaxRunning = 1024
	}
	if l.MaxEnded == 0 {
		l.MaxEnded = 16384
	}
	if l.MaxTotalResultBytes == 0 {
		l.MaxTotalResultBytes = 8 << 20
	}
	return l
}
