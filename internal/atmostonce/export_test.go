package atmostonce

import (
	"io"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// DisabledRules says which rules a test disables to show that it fails without them.
type DisabledRules struct{ FirstIntent, Digest, Expiry bool }

func newTestHooks(onStep func(Step), disabled DisabledRules) *hooks {
	return &hooks{onStep: onStep, lastIntentWins: disabled.FirstIntent, ignoreDigest: disabled.Digest, ignoreExpiry: disabled.Expiry}
}

// SetTestHooks sets the step observer and the disabled rules.
func (c *Client) SetTestHooks(onStep func(Step), disabled DisabledRules) {
	c.hooks = newTestHooks(onStep, disabled)
}

// NewWriterWithHooks is NewWriter with a step observer and disabled rules.
func NewWriterWithHooks(log backing.Log, views ViewSource, self record.InstanceRef, opts Options, random io.Reader, onStep func(Step), disabled DisabledRules) *Writer {
	return newWriter(log, views, self, opts, random, newTestHooks(onStep, disabled))
}

// StepCount is the number of steps.
const StepCount = int(stepCount)
