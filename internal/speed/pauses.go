package speed

import "time"

// pauseWindow is for how long at least the longest pause is kept, and half as long as it is
// kept at most. The long prompts that cause pauses come in bursts of seconds.
const pauseWindow = 3 * time.Second

// pauses keeps the longest recent interval between two events of a stream.
type pauses struct {
	since             time.Time
	current, previous time.Duration
}

func (p *pauses) add(d time.Duration, now time.Time) {
	p.turn(now)
	p.current = max(p.current, d)
}

// turn begins a new window if the current one has ended.
func (p *pauses) turn(now time.Time) {
	switch age := now.Sub(p.since); {
	case age < pauseWindow:
	case age < 2*pauseWindow:
		p.since, p.previous, p.current = now, p.current, 0
	default:
		p.since, p.previous, p.current = now, 0, 0
	}
}

// longest returns the longest interval of about the last two windows.
func (p *pauses) longest(now time.Time) time.Duration {
	switch age := now.Sub(p.since); {
	case age < pauseWindow:
		return max(p.current, p.previous)
	case age < 2*pauseWindow:
		return p.current
	default:
		return 0
	}
}
