package poison

// StepCount is the number of steps.
const StepCount = int(stepCount)

// InstallHooks calls onStep at every step of the given parts, and switches off
// the refusal of quarantined requests or the delay of failure responses.
func InstallHooks(onStep func(Step), noRefusal, noDelay bool, t *Tracker, r *Reporter, g *Guard) {
	h := &hooks{onStep: onStep, noRefusal: noRefusal, noDelay: noDelay}
	if t != nil {
		t.hooks = h
		r.hooks = h
	}
	if g != nil {
		g.hooks = h
	}
}
