package clientbudget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// holds returns a response of s that holds n bytes and is complete.
func holds(t *testing.T, s *Share, n int64) *Response {
	r := &Response{Share: s}
	is.New(t).True(r.Resize(n, true))
	return r
}

// TestResponseWaitsForMemory guards against responses that fail although memory becomes free in time,
// that get it before those that wait longer, or that hold memory while they wait.
func TestResponseWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		s := NewShare(testLimit)
		first := holds(t, s, testLimit/2)
		var order []int
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 3 {
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				r := &Response{Share: s}
				check.True(!r.Resize(testLimit/2, true))
				check.NoErr(r.Wait(t.Context(), testLimit/2, true))
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				time.Sleep(time.Second)
				check.True(r.Resize(0, true))
			})
		}
		time.Sleep(time.Second)
		check.Equal(s.Waiting(), 3)
		check.Equal(s.used, int64(testLimit/2)) // those that wait hold nothing
		late := &Response{Share: s}
		check.True(!late.Resize(SmallBytes+1, true)) // not before those that wait
		check.True(late.Resize(SmallBytes, true))    // small ones do not wait for large ones
		check.True(first.Resize(0, true))
		wg.Wait()
		check.Equal(order, []int{0, 1, 2})
		check.True(late.Resize(0, true))
		check.Equal(s.used, int64(0))
	})
}

// TestResponseWaitEnds guards against a wait without an end, and against one that has ended and still
// blocks those behind it.
func TestResponseWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		s := NewShare(testLimit)
		first := holds(t, s, testLimit/2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		r := &Response{Share: s}
		check.True(errors.Is(r.Wait(ctx, testLimit/2, true), context.DeadlineExceeded))
		check.Equal(time.Since(start), time.Second)
		check.Equal(r.Held(), int64(0))

		left, leave := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { check.True(errors.Is((&Response{Share: s}).Wait(left, testLimit/2, true), context.Canceled)) })
		synctest.Wait()
		behind := &Response{Share: s}
		wg.Go(func() { check.NoErr(behind.Wait(t.Context(), testLimit/8, true)) })
		synctest.Wait()
		check.Equal(s.Waiting(), 2)
		leave()
		wg.Wait()
		check.Equal(s.Waiting(), 0)
		check.True(first.Resize(0, true))
		check.True(behind.Resize(0, true))
		check.Equal(s.used, int64(0))
		check.Equal(r.Wait(t.Context(), testLimit+1, true), ErrTooLarge) // at once
	})
}

// TestRequestsMakeRoomForResponses guards against responses that are not woken when the memory that
// they wait for was held by requests.
func TestRequestsMakeRoomForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := New(Limits{HeldBytes: testLimit, RequestBytes: testLimit, ResponseBytes: testLimit, Conns: 8})
		check.True(b.Requests.Resize(0, testLimit/2))
		r := &Response{Share: b.Responses}
		check.True(!r.Resize(testLimit*5/8, true))
		time.AfterFunc(time.Second, func() { check.True(b.Requests.Resize(testLimit/2, 0)) })
		check.NoErr(r.Wait(t.Context(), testLimit*5/8, true))
	})
}

// TestSmallResponsesDisplaceLargeOnes guards against small responses that wait for large ones which hold
// memory while they wait themselves, and against ending more of those than needed.
func TestSmallResponsesDisplaceLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		s := NewShare(16 << 20)
		holds(t, s, 12<<20+SmallBytes)
		errs := make([]error, 63)
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for i := range errs {
			r := &Response{Share: s}
			check.True(r.Resize(SmallBytes, false))
			wg.Go(func() { errs[i] = r.Wait(ctx, 2*SmallBytes, false) })
			synctest.Wait()
		}
		for range 2 {
			small := &Response{Share: s}
			check.True(!small.Resize(SmallBytes, true))
			check.NoErr(small.Wait(ctx, SmallBytes, true))
		}
		synctest.Wait()
		check.Equal(s.Waiting(), 61)
		cancel()
		wg.Wait()
		for i, err := range errs {
			want := context.Canceled
			if i >= 61 {
				want = ErrDisplaced // the latest
			}
			check.True(errors.Is(err, want))
		}
	})
}

// TestGrowingResponsesDoNotBlockEachOther guards against responses of unknown length that hold memory
// and wait for each other: each must complete, beside others whose length is known.
func TestGrowingResponsesDoNotBlockEachOther(t *testing.T) {
	const step = SmallBytes
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			random := rand.New(rand.NewPCG(seed, 0))
			// A machine with 144 MB and one with less. The first SmallBytes of all responses fit into
			// what large ones leave free, so that none is displaced.
			limit := []int64{36 << 20, 16 << 20}[seed%2]
			responses := int(limit / 5 / SmallBytes)
			s := NewShare(limit)
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			hold := func(r *Response, n int64, final bool) error {
				if r.Resize(n, final) {
					return nil
				}
				return r.Wait(ctx, n, final)
			}
			var wg sync.WaitGroup
			for range responses {
				size := SmallBytes + random.Int64N(MaxResponseBytes-SmallBytes)
				known, start := random.IntN(3) == 0, time.Duration(random.IntN(1000))*time.Millisecond
				pause, reading := time.Duration(1+random.IntN(20))*time.Millisecond, time.Duration(random.IntN(1000))*time.Millisecond
				wg.Go(func() {
					time.Sleep(start)
					r := &Response{Share: s}
					if known {
						check.NoErr(hold(r, size, true))
					}
					for n := int64(step); !known && n < size+step; n += step {
						check.NoErr(hold(r, min(n, size), false))
						time.Sleep(pause)
					}
					check.True(r.Resize(r.Held(), true))
					time.Sleep(reading) // the caller reads it
					check.True(r.Resize(0, true))
				})
			}
			wg.Wait()
			check.Equal(s.used, int64(0))
			check.Equal(s.large, int64(0))
			check.Equal(len(s.growing), 0)
		})
	}
}
