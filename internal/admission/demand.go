package admission

import "time"

const (
	// demandSlots is the number of parts of the window in which demand is counted.
	demandSlots = 8
	// recentSlots is the part of the window whose rate counts if it is above that of the whole
	// window: at the start of a burst the window still holds the demand from before.
	recentSlots = 2
	// minRecent is how many requests of the recent part tell its rate; few large ones differ too
	// much by chance.
	minRecent = 4
	// smallerFactor is how much smaller than a request others are for which it leaves a reserve.
	// The sizes of one kind of request differ by less, and its largest must not stay behind the
	// others.
	smallerFactor = 4
	// maxReserve is the largest part of a share that is reserved for small requests, and
	// maxReserveInAll the largest that is reserved for small and more urgent ones together. So
	// the others always have the rest, and none is shut out. With three quarters in all, standard
	// requests were refused for urgent ones that did not come once a burst was over.
	maxReserve      = 0.25
	maxReserveInAll = 0.45
)

// aheadFactor is how much more than now small requests may ask for at the time of a booking. The
// demand of a burst is known only after it has begun, and a booking is for some seconds later.
const aheadFactor = 4

// Demand counts the tokens that a team asks for, by size class and urgency, over one window.
// The zero value has seen nothing.
type Demand struct {
	slots [demandSlots]demandSlot
}

// demandSlot holds the demand of one part of the window.
type demandSlot struct {
	// number is the number of the slot since the epoch of times.
	number int64
	cells  []demandCell
}

// demandCell is the demand of the requests of one class and urgency.
type demandCell struct {
	class, urgency   int
	requests, tokens float64
	// timed are the tokens of the requests that can still be served within their objective.
	timed float64
}

// Add counts a request that asks at the time now since the epoch.
func (d *Demand) Add(a Ask, now, window time.Duration) {
	number := slotNumber(now, window)
	s := &d.slots[number%demandSlots]
	if s.number != number {
		s.number, s.cells = number, s.cells[:0]
	}
	timed := 0.0
	if a.Longest > 0 {
		timed = a.Tokens
	}
	s.cells = addCell(s.cells, demandCell{a.class(), a.urgency(), 1, a.Tokens, timed})
}

func slotNumber(now, window time.Duration) int64 {
	// The first number is above 0, which unused slots have.
	return int64(max(0, now)/max(1, window/demandSlots)) + demandSlots
}

func addCell(cells []demandCell, c demandCell) []demandCell {
	for i := range cells {
		if cells[i].class == c.class && cells[i].urgency == c.urgency {
			cells[i].requests += c.requests
			cells[i].tokens += c.tokens
			cells[i].timed += c.timed
			return cells
		}
	}
	return append(cells, c)
}

// current calls f for each cell of the window, and tells which are of its recent part.
func (d *Demand) current(now, window time.Duration, f func(c *demandCell, recent bool)) {
	newest := slotNumber(now, window)
	for i := range d.slots {
		s := &d.slots[i]
		if s.number <= newest-demandSlots || s.number > newest {
			continue
		}
		for k := range s.cells {
			f(&s.cells[k], s.number > newest-recentSlots)
		}
	}
}

// demandSum is a sum of demand.
type demandSum struct{ requests, tokens, recentRequests, recentTokens float64 }

func (s *demandSum) add(c *demandCell, recent bool) {
	s.requests, s.tokens = s.requests+c.requests, s.tokens+c.tokens
	if recent {
		s.recentRequests, s.recentTokens = s.recentRequests+c.requests, s.recentTokens+c.tokens
	}
}

// perWindow returns the tokens that are asked for in a window, of which the recent part is the fraction
// recent.
func (s *demandSum) perWindow(recent float64) float64 {
	if s.recentRequests < minRecent {
		return s.tokens
	}
	return max(s.tokens, s.recentTokens/recent)
}

// inWindow returns the tokens of the requests in a window that come before a: those that are much
// smaller, and more urgent ones that are not much larger.
func (d *Demand) inWindow(a Ask, now, window time.Duration) (smaller, moreUrgent float64) {
	var small, urgent demandSum
	class, urgency := a.class(), a.urgency()
	d.current(now, window, func(c *demandCell, recent bool) {
		switch {
		case c.class <= class+1 && c.urgency < urgency:
			urgent.add(c, recent)
		case smallerFactor*c.tokens <= c.requests*a.Tokens:
			small.add(c, recent)
		}
	})
	return small.perWindow(recentFraction(now, window)), urgent.perWindow(float64(recentSlots) / demandSlots)
}

// recentFraction returns which fraction of the window the recent part covers. Its last slot has just begun.
func recentFraction(now, window time.Duration) float64 {
	slot := max(1, window/demandSlots)
	return float64((recentSlots-1)*slot+max(0, now)%slot) / float64(demandSlots*slot)
}

// FreshRate returns how many tokens for each second are asked for by requests that can be served within their
// objective, and are as urgent as a or come before it. Tokens that serve a late are booked only beside
// them. The newest slot does not count, so that callers that come together and are refused do not keep each
// other from returning.
func (d *Demand) FreshRate(a Ask, now, window time.Duration) float64 {
	const slots = demandSlots - 1
	sum, class, urgency := 0.0, a.class(), a.urgency()
	d.current(now-window/demandSlots, window, func(c *demandCell, _ bool) {
		if c.class <= class+1 && c.urgency <= urgency || smallerFactor*c.tokens <= c.requests*a.Tokens {
			sum += c.timed
		}
	})
	return sum / (slots * (window / demandSlots)).Seconds()
}

// ReserveRate returns how many tokens of a share a request must leave for each second until
// they become free again: what much smaller requests ask for, at most maxReserve, and what more
// urgent ones ask for that are not much larger. most bounds what is reserved in all. ahead tells that
// the request wants to have tokens later, when others may ask for more than now.
func (d *Demand) ReserveRate(a Ask, share, most float64, ahead bool, now, window time.Duration) float64 {
	small, urgent := d.inWindow(a, now, window)
	if ahead {
		small *= aheadFactor
	}
	sum := min(min(small, maxReserve*share)+urgent, maxReserveInAll*share)
	return min(most/(window+reserveAhead).Seconds(), sum/window.Seconds())
}
