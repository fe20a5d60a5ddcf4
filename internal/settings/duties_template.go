package settings

// DutiesTemplate has the settings of duties as a template of the platform gives them. The platform renders
// nothing for a value that a deployment lacks, so each value stands in a list, which is then empty or holds
// null.
type DutiesTemplate struct {
	Addr           []*string   `json:"addr,omitempty"`
	Names          []*[]string `json:"names,omitempty"`
	CallsPerS      []*float64  `json:"calls_per_s,omitempty"`
	UsageWindowS   []*float64  `json:"usage_window_s,omitempty"`
	UsageTolerance []*float64  `json:"usage_tolerance,omitempty"`
	UsageLateS     []*float64  `json:"usage_late_s,omitempty"`
	LeaseMS        []*float64  `json:"lease_ms,omitempty"`
	RequireFence   []*bool     `json:"require_fence,omitempty"`
}

// apply sets the values that the template has. Without an address there are no duties, and their bounds mean
// nothing.
func (t DutiesTemplate) apply(d *Duties, b *ManagedBounds) {
	setGiven(&d.Addr, t.Addr)
	if d.Addr == "" {
		return
	}
	setGiven(&d.Names, t.Names)
	setGiven(&d.CallsPerS, t.CallsPerS)
	setGiven(&b.UsageWindowS, t.UsageWindowS)
	setGiven(&b.UsageTolerance, t.UsageTolerance)
	setGiven(&b.UsageLateS, t.UsageLateS)
	setGiven(&b.DutyLeaseMS, t.LeaseMS)
	setGiven(&b.RequireFence, t.RequireFence)
}

// setGiven sets field to the first value of given, if there is one.
func setGiven[T any](field *T, given []*T) {
	if len(given) > 0 && given[0] != nil {
		*field = *given[0]
	}
}
