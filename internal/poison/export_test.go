package poison

// StepCount is the number of steps.
const StepCount = int(stepCount)

// InstallHooks installs an observer and switches rules off in all parts given.
func InstallHooks(at func(Step), noRefusal, noWithhold bool, t *Tracker, r *Reporter, g *Guard) {
	h := &hooks{at: at, noRefusal: noRefusal, noWithhold: noWithhold}
	if t != nil {
		t.hooks = h
		r.hooks = h
	}
	if g != nil {
		g.hooks = h
	}
}
