package tokenquota

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// unreachable is a lender whose holders do not answer.
type unreachable struct{}

// TestStartingHolder guards against the same while the holders start and know no
// team yet.
func TestStartingHolder(t *testing.T) {
	check := is.New(t)
	bs := newBanks(12, 0, testBounds, team(29000, 68873))
	for i := range bs.all {
		d := take(bs.all[i], 1000)
		check.True(d.Allowed)
	}
	asker := slices.IndexFunc(bs.all, func(b *Limiter) bool { return b.accounts["t"].share == 0 })
	for i := range bs.all {
		if i != asker {
			bs.all[i] = bs.start(i, testBounds)
		}
	}
	d := take(bs.all[asker], 1000)
	check.True(d.NoHolderAnswered && !d.Allowed)
}

// TestUnreached guards against a team that is told that its rate is used up when
// nobody knows.
func TestUnreached(t *testing.T) {
	check := is.New(t)
	told := 0
	for _, name := range entries(12) {
		b := NewLimiter(name, testBounds, unreachable{})
		b.Configure(team(29000, 68873), entries(12))
		d := b.Take(context.Background(), "t", 1000)
		check.True(d.Allowed != d.NoHolderAnswered)
		if d.NoHolderAnswered {
			told++
		}
	}
	check.Equal(told, 12-leastHolders)
}

// TestLargeFleet guards against refusals within a team's rate, and against a
// checkpoint with each request, when the requests of a team are spread
// over many instances.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		const n, requests = 28, 400
		bs := newBanks(n, 0, testBounds, team(29000, 68873))
		written := 0
		for i := range requests {
			// 16,000 a second, the part of their rates that the users' teams spend.
			time.Sleep(580 * time.Millisecond)
			check.True(take(bs.all[i*5%n], 9300).Allowed)
			for _, b := range bs.all {
				select {
				case <-b.CheckpointDue():
					_ = b.Checkpoint()
					written++
				default:
				}
			}
		}
		check.True(written < requests/2)
	})
}

// TestRefusalGivesBack guards against tokens that are lost when a request is
// refused although some holders had a part of them.
func TestRefusalGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		bs := newBanks(8, 0, Bounds{Window: 8 * time.Second}, team(100, 200))
		for range 20 {
			check.True(!take(bs.all[0], 1001).Allowed)
		}
		check.True(take(bs.all[0], 1000).Allowed)
		check.NoErr(bs.all[0].Refund(context.Background(), "t", 1000, nil))
	})
}

// TestRefundOfLoans guards against borrowed tokens that are lost when the request
// has not run.
func TestRefundOfLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		bs := newBanks(8, 0, Bounds{Window: 8 * time.Second}, team(100, 200))
		for i := range bs.all {
			d := take(bs.all[i], 1000)
			check.True(d.Allowed)
			check.True(!take(bs.all[i], 1).Allowed)
			check.NoErr(bs.all[i].Refund(context.Background(), "t", 1000, d.Loans))
		}
	})
}

// TestNewHolder guards against an allowance that is spent twice when an instance
// joins and takes over the part of another.
func TestNewHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		names := entries(12)
		var b *Limiter
		for _, name := range names { // one that holds nothing while all are there
			b = NewLimiter(name, testBounds, nil)
			b.Configure(team(29000, 68873), names)
			if b.accounts["t"].share == 0 {
				break
			}
		}
		b.Configure(team(29000, 68873), []string{b.self})
		check.True(b.accounts["t"].share > 0)
		check.True(!b.Take(context.Background(), "t", 1).Allowed)
		time.Sleep(testBounds.Window + windowMargin + time.Millisecond)
		check.True(b.Take(context.Background(), "t", 20000).Allowed)
	})
}
