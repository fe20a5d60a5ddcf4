package relay

import "sync/atomic"

// Self identifies this instance. The incarnation changes when the instance
// joins again after the fleet has removed it with a `gone` record.
type Self struct {
	// Instance is the platform's id of the machine.
	Instance string
	// DataCentre comes from the settings.
	DataCentre  string
	incarnation atomic.Pointer[string]
}

// NewSelf returns the identity of an instance.
func NewSelf(instance, dataCentre, incarnation string) *Self {
	s := &Self{Instance: instance, DataCentre: dataCentre}
	s.SetIncarnation(incarnation)
	return s
}

// Incarnation returns the current incarnation.
func (s *Self) Incarnation() string { return *s.incarnation.Load() }

// SetIncarnation replaces the incarnation.
func (s *Self) SetIncarnation(incarnation string) { s.incarnation.Store(&incarnation) }
