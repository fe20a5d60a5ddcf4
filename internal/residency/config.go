package residency

import "time"

// Config holds the time bounds of an Account.
type Config struct {
	// OrderTimeout bounds a load or unload order. Default 2 min.
	OrderTimeout time.Duration
	// ReadTimeout bounds a read-back. Default 2 s.
	ReadTimeout time.Duration
	// OrderDelay is the longest time after which an order that was written can
	// still reach the engine, duplicates included. Engine and agent share a
	// machine. Default 1 s.
	OrderDelay time.Duration
	// ReconcileInterval is the time between two read-backs. Default 1 s.
	ReconcileInterval time.Duration
	// SelfUnloadAfter is the view age from which idle replicas are unloaded. Default 30 s.
	SelfUnloadAfter time.Duration
	// KeepWarm is how long an idle replica stays loaded until its own time is learned. Default 5 min.
	KeepWarm time.Duration
	// ColdStartCost is the idle time that is worth one reload. Default 5 min.
	ColdStartCost time.Duration
	// PollInterval is the time between two looks at a condition that other work changes. Default 50 ms.
	PollInterval time.Duration
}

// WithDefaults returns c with every zero field set to its default.
func (c Config) WithDefaults() Config {
	set(&c.OrderTimeout, 2*time.Minute)
	set(&c.ReadTimeout, 2*time.Second)
	set(&c.OrderDelay, time.Second)
	set(&c.ReconcileInterval, time.Second)
	set(&c.SelfUnloadAfter, 30*time.Second)
	set(&c.KeepWarm, 5*time.Minute)
	set(&c.ColdStartCost, 5*time.Minute)
	set(&c.PollInterval, 50*time.Millisecond)
	return c
}

func set(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
