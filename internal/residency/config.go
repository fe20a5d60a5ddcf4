package residency

import "time"

// Config holds the time limits and intervals of a Manager.
type Config struct {
	// OrderTimeout bounds a load or unload order. Default 2 min.
	OrderTimeout time.Duration
	// ReadTimeout bounds a read of the engine's state. Default 2 s.
	ReadTimeout time.Duration
	// OrderDelay is the longest time after which a sent order can still reach the
	// engine, duplicates included. It is short because engine and agent share a
	// machine. Default 1 s.
	OrderDelay time.Duration
	// ReconcileInterval is the time between two reads of the engine's state. Default 1 s.
	ReconcileInterval time.Duration
	// SelfUnloadAfter is the view age above which idle replicas are unloaded. Default 30 s.
	SelfUnloadAfter time.Duration
	// KeepWarm is how long an idle replica stays loaded until gaps between its uses
	// are known. Default 5 min.
	KeepWarm time.Duration
	// ColdStartCost is the idle time that costs as much as one cold start. Default 5 min.
	ColdStartCost time.Duration
	// PollInterval is the time between two checks of a condition that the engine or
	// another goroutine changes. Default 50 ms.
	PollInterval time.Duration
}

// WithDefaults returns c with every zero field set to its default.
func (c Config) WithDefaults() Config {
	setDefault(&c.OrderTimeout, 2*time.Minute)
	setDefault(&c.ReadTimeout, 2*time.Second)
	setDefault(&c.OrderDelay, time.Second)
	setDefault(&c.ReconcileInterval, time.Second)
	setDefault(&c.SelfUnloadAfter, 30*time.Second)
	setDefault(&c.KeepWarm, 5*time.Minute)
	setDefault(&c.ColdStartCost, 5*time.Minute)
	setDefault(&c.PollInterval, 50*time.Millisecond)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
