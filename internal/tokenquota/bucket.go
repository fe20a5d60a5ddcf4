package tokenquota

import "time"

// bucket is one instance's part of a team's quota.
type bucket struct {
	// rate is in tokens a second, capacity and debt in tokens.
	rate, capacity, debt float64
	balance              float64
	at                   time.Time
}

// set changes the part; the balance is kept as far as it fits.
func (b *bucket) set(rate, capacity, debt float64, now time.Time) {
	b.refill(now)
	b.rate, b.capacity, b.debt = rate, capacity, debt
	b.balance = min(b.balance, capacity)
}

// refill adds what time has brought. A balance above the capacity came from
// other instances and stays.
func (b *bucket) refill(now time.Time) {
	gain := b.rate * now.Sub(b.at).Seconds()
	b.at = now
	if gain > 0 && b.balance < b.capacity {
		b.balance = min(b.capacity, b.balance+gain)
	}
}

func (b *bucket) take(tokens float64, now time.Time) bool {
	b.refill(now)
	if b.balance+b.debt < tokens {
		return false
	}
	b.balance -= tokens
	return true
}

// spare returns what another instance may have: all above a quarter of the
// capacity, which covers own requests until the next refill.
func (b *bucket) spare() float64 { return max(0, b.balance-b.capacity/4) }

// wait returns when the tokens are there by refill alone.
func (b *bucket) wait(tokens float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(max(0, tokens-b.debt-b.balance) / b.rate * float64(time.Second))
}
