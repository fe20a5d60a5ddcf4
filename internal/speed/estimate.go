package speed

import "time"

// Estimate is the estimated time to first token at one engine, in ms by its parts.
type Estimate struct {
	// Prompt is the time to read the request's own prompt, with what the running requests
	// add to it. Pending is that of the prompts before it, Queue that of the engine's queue,
	// Running that of the running requests, and Fixed what every request takes.
	Prompt, Pending, Queue, Running, Fixed float64
	// Upstream, Model and Transient are the factors that were used.
	Upstream, Model, Transient float64
	work                       Work
}

// TotalMS returns the whole estimate in ms.
func (e *Estimate) TotalMS() float64 { return e.Prompt + e.Pending + e.Queue + e.Running + e.Fixed }

// Total returns the whole estimate.
func (e *Estimate) Total() time.Duration { return Milliseconds(e.TotalMS()) }

// Work returns what the estimate is for.
func (e *Estimate) Work() Work { return e.work }

// Milliseconds converts a number of ms.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
