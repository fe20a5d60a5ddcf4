package once

import (
	"io"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// RulesOff names the rules that a negative control switches off.
type RulesOff struct{ FirstIntent, Digest, Expiry bool }

func hooksOf(at func(Step), off RulesOff) *hooks {
	return &hooks{at: at, lastIntentWins: off.FirstIntent, ignoreDigest: off.Digest, ignoreExpiry: off.Expiry}
}

// Hook installs the observer and the rules switched off.
func (c *Client) Hook(at func(Step), off RulesOff) { c.hooks = hooksOf(at, off) }

// NewHookedWriter is NewWriter with an observer and rules switched off.
func NewHookedWriter(log platform.Log, views Views, self record.InstanceRef, opts Options, random io.Reader, at func(Step), off RulesOff) *Writer {
	return newWriter(log, views, self, opts, random, hooksOf(at, off))
}

// StepCount is the number of steps.
const StepCount = int(stepCount)
