package admission

import "time"

const (
	// demandSlots is the number of parts of the window in which demand is counted.
	demandSlots = 8
	// recentSlots is the part of the window whose rate counts if it is above that of the whole
	// window: at the start of a burst the window still holds the demand from before.
	recentSlots = 2
	// smallerFactor is how much smaller than a request others are for which it leaves a reserve.
	// The sizes of one kind of request differ by less, and its largest must not stay behind the
	// others.
	smallerFactor = 4
	// maxReserve is the largest part of a share that is reserved for small requests, and
	// maxReserveInAll the largest that is reserved for small and more urgent ones together. So
	// the others always have the rest, and none is shut out.
	maxReserve      = 0.25
	maxReserveInAll = 0.75
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
}

// Add counts a request that asks at the time now since the epoch.
func (d *Demand) Add(a Ask, now, window time.Duration) {
	number := slotNumber(now, window)
	s := &d.slots[number%demandSlots]
	if s.number != number {
		s.number, s.cells = number, s.cells[:0]
	}
	s.cells = addCell(s.cells, demandCell{a.class(), a.urgency(), 1, a.Tokens})
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
			return cells
		}
	}
	return append(cells, c)
}

// inWindow returns the tokens of the requests in a window that come before a: those that are much
// smaller, and more urgent ones that are not larger.
func (d *Demand) inWindow(a Ask, now, window time.Duration) (small, urgent float64) {
	newest := slotNumber(now, window)
	var recentSmall, recentUrgent float64
	for i := range d.slots {
		s := &d.slots[i]
		if s.number <= newest-demandSlots || s.number > newest {
			continue
		}
		recent := s.number > newest-recentSlots
		for _, c := range s.cells {
			switch {
			case c.class <= a.class() && c.urgency < a.urgency():
				urgent += c.tokens
				if recent {
					recentUrgent += c.tokens
				}
			case smallerFactor*c.tokens <= c.requests*a.Tokens:
				small += c.tokens
				if recent {
					recentSmall += c.tokens
				}
			}
		}
	}
	const windows = demandSlots / recentSlots
	return max(small, windows*recentSmall), max(urgent, windows*recentUrgent)
}

// ReserveRate returns how many tokens of a share a request must leave for each second until
// they become free again: what much smaller requests ask for, at most maxReserve, and what more
// urgent ones ask for that are not larger. most bounds what is reserved in all. ahead tells that
// the request wants to have tokens later, when others may ask for more than now.
func (d *Demand) ReserveRate(a Ask, share, most float64, ahead bool, now, window time.Duration) float64 {
	small, urgent := d.inWindow(a, now, window)
	if ahead {
		small *= aheadFactor
	}
	sum := min(min(small, maxReserve*share)+urgent, maxReserveInAll*share)
	return min(most/(window+reserveAhead).Seconds(), sum/window.Seconds())
}
