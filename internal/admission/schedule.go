package admission

import "time"

// Step is the grid of the times that a Schedule tells apart. It is a fifth of the shortest
// objective in use, 120 ms.
const Step = 25 * time.Millisecond

// Schedule is what will be left of a share at each time of the next window, if nothing is given
// out but what is booked. Times count from an epoch that all schedules of a share have in
// common, so that their grids agree.
type Schedule struct {
	now   time.Duration
	first int64
	// left is what is left at the beginning of each step; before fill it is the change there.
	left []float64
}

// NewSchedule returns the schedule of the window after now, of a share of which free tokens are
// left.
func NewSchedule(now, window time.Duration, free float64) *Schedule {
	s := &Schedule{now: now, first: int64(now / Step), left: make([]float64, window/Step+2)}
	s.left[0] = free
	return s
}

// Release adds tokens that become free after at.
func (s *Schedule) Release(at time.Duration, tokens float64) {
	if at < s.now {
		s.left[0] += tokens
		return
	}
	if i := int64(at/Step) + 1 - s.first; i < int64(len(s.left)) {
		s.left[i] += tokens
	}
}

// Lower removes tokens that will not be given out.
func (s *Schedule) Lower(tokens float64) { s.left[0] -= tokens }

// Withhold removes tokens that are booked from at on.
func (s *Schedule) Withhold(at time.Duration, tokens float64) {
	if i := max(0, int64(at/Step)-s.first); i < int64(len(s.left)) {
		s.left[i] -= tokens
	}
}

// Sum ends the changes. It must be called once, before Room and Earliest.
func (s *Schedule) Sum() {
	for i := 1; i < len(s.left); i++ {
		s.left[i] += s.left[i-1]
	}
}

// reserveAhead is for how long after a time its reserve is to last, although tokens become free
// meanwhile: larger requests would take them first, and small ones ask a holder of many at random.
const reserveAhead = time.Second

// Reserve returns the most that is reserved at a rate, at the end of the window.
func Reserve(rate float64, window time.Duration) float64 {
	return rate * (window + reserveAhead).Seconds()
}

// reserved returns what is reserved at step i at a rate: the demand until reserveAhead after it.
func (s *Schedule) reserved(i int, rate float64) float64 {
	return rate * (time.Duration(i)*Step + reserveAhead).Seconds()
}

// Room returns how many tokens may be given out now, so that at no time less is left than what
// is booked and reserved at rate.
func (s *Schedule) Room(rate float64) float64 {
	room := s.left[0]
	for i, left := range s.left {
		room = min(room, left-s.reserved(i, rate))
	}
	return max(0, room)
}

// Earliest returns the first time of the grid from which on tokens may be booked.
func (s *Schedule) Earliest(tokens, rate float64) (time.Duration, bool) {
	at := len(s.left)
	for i := len(s.left) - 1; i >= 0 && s.left[i]-s.reserved(i, rate) >= tokens; i-- {
		at = i
	}
	return time.Duration(s.first+int64(at)) * Step, at < len(s.left)
}

// lowest returns the least that is left at any time.
func (s *Schedule) lowest() float64 {
	lowest := s.left[0]
	for _, left := range s.left {
		lowest = min(lowest, left)
	}
	return lowest
}
