package spill

import "time"

// Decision is what is best for one request.
type Decision struct {
	// Leave tells that the request should leave, and AtOnce that it should do so whatever
	// share of the requests leaves already.
	Leave, AtOnce bool
	// Harmless tells, for a request that should stay, that it would lose no time by leaving.
	Harmless bool
	// Reason is set if Leave is.
	Reason Reason
}

// guestDiscount is the part of the worth of saved time that is lost if the other data centre
// is fully pressed. As it fills, requests from outside thus stay away before its own ones
// leave.
const guestDiscount = 0.5

// lateAnswer is the share of the objective from which an estimate counts as too late. With
// several entry instances, estimates are within a factor of 1.5 for about half of the
// requests: at 0.6, such an error uses up the objective.
const lateAnswer = 0.6

// Decide compares the best upstream of the own data centre with the best one elsewhere.
//
// A load, a lost prompt cache and failures cost engine time or a retry, so that avoiding them
// always counts. Other time that leaving saves counts only as far as the own data centre is
// pressed.
func Decide(r Request, here, there Option) Decision {
	firm := here.Load - there.Load + cacheSaving(&here, &there) + here.Penalty - there.Penalty
	saved := here.Cost - there.Cost - firm
	harmless := firm+saved >= LinkDelay
	if saved > 0 {
		saved = time.Duration(float64(saved) * here.pressure(r) * (1 - guestDiscount*there.pressure(r)))
	}
	threshold := LinkDelay + r.price()
	switch {
	case here.Occupancy > 1 && there.Occupancy <= 1 && harmless:
		return Decision{Leave: true, AtOnce: true, Reason: Full}
	case firm+saved <= threshold:
		return Decision{Harmless: harmless}
	case firm > threshold:
		return Decision{Leave: true, AtOnce: true, Reason: firmReason(here, there)}
	case r.Objective > 0 && float64(here.Answer) > lateAnswer*float64(r.Objective):
		return Decision{Leave: true, AtOnce: true, Reason: Late}
	case here.Queued > 0:
		return Decision{Leave: true, Reason: Queue}
	default:
		return Decision{Leave: true, Reason: Delay}
	}
}

// firmReason returns the largest of the parts that always count.
func firmReason(here, there Option) Reason {
	load, cache, penalty := here.Load-there.Load, cacheSaving(&here, &there), here.Penalty-there.Penalty
	switch max(load, cache, penalty) {
	case load:
		return Load
	case cache:
		return Cache
	default:
		return Failure
	}
}
