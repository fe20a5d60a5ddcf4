package residency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxGap is the longest gap that the histogram distinguishes; no replica is
	// worth keeping idle for longer.
	maxGap = 6 * time.Hour
	// gapSignificantFigures of 1 keeps the histogram of a checkpoint at about 2 kB.
	gapSignificantFigures = 1
	// minGaps is the number of recorded gaps from which Window uses the histogram.
	// The idle hours are 0.49 of those with a fixed keep-warm time. With a minimum of
	// 3 they would be 0.53, because rarely used checkpoints stay loaded for longer.
	minGaps = 1
)

// GapHistogram counts the gaps between the uses of a checkpoint and derives from
// them when the checkpoint should stay loaded. The zero value has no gaps. It is
// not safe for concurrent use.
type GapHistogram struct {
	gaps *hdrhistogram.Histogram
	// window is the last result of cheapestWindow, for the cost coldStartCost. A
	// coldStartCost of 0 marks it as outdated.
	window        KeepWarmWindow
	coldStartCost time.Duration
}

// Record adds a gap between the end of one use and the start of the next. It
// ignores gaps below a second, which are too short to unload for.
func (h *GapHistogram) Record(gap time.Duration) {
	if gap < time.Second {
		return
	}
	if h.gaps == nil {
		h.gaps = hdrhistogram.New(1, int64(maxGap/time.Second), gapSignificantFigures)
	}
	_ = h.gaps.RecordValue(int64(min(gap, maxGap) / time.Second))
	h.coldStartCost = 0
}

// Window returns the window that would have cost the least over the recorded
// gaps. coldStartCost is the idle time that costs as much as one cold start. Until
// enough gaps are recorded, the window lasts from the end of a use for `initial`.
func (h *GapHistogram) Window(initial, coldStartCost time.Duration) KeepWarmWindow {
	if h.gaps == nil || h.gaps.TotalCount() < minGaps {
		return KeepWarmWindow{To: initial}
	}
	if h.coldStartCost != coldStartCost {
		h.window, h.coldStartCost = h.cheapestWindow(coldStartCost.Seconds()), coldStartCost
	}
	return h.window
}

// gapBucket counts gaps of about equal length.
type gapBucket struct {
	from, to, count float64
}

// cheapestWindow tries every window that begins at 0 or at a bucket and ends at a
// bucket. A gap that ends inside the window costs the idle time since the window
// began. Any other gap costs a cold start, and also the whole window if the gap is
// longer. A window that does not begin at 0 adds the cost of a planned reload.
func (h *GapHistogram) cheapestWindow(coldStartCost float64) KeepWarmWindow {
	buckets, total := h.buckets(), float64(h.gaps.TotalCount())
	best, bestCost := KeepWarmWindow{}, total*coldStartCost
	for i := -1; i < len(buckets); i++ {
		begin, reload := 0.0, 0.0
		if i >= 0 {
			begin, reload = buckets[i].from, plannedReloadCost.Seconds()
		}
		if i >= 0 && begin <= (MinKeepWarm+2*ReloadLead).Seconds() {
			continue
		}
		before := 0.0
		for _, b := range buckets[:max(0, i)] {
			before += b.count
		}
		inside, idle := 0.0, 0.0
		for _, b := range buckets[max(0, i):] {
			inside += b.count
			idle += b.count * (b.to - begin)
			longer := total - before - inside
			cost := before*coldStartCost + idle + longer*(b.to-begin+coldStartCost) + (inside+longer)*reload
			if cost < bestCost {
				best, bestCost = KeepWarmWindow{From: seconds(begin), To: seconds(b.to + 1)}, cost
			}
		}
	}
	return best
}

// buckets lists the buckets that contain gaps, without the bucket at maxGap, whose
// gaps are too long to keep a replica loaded.
func (h *GapHistogram) buckets() []gapBucket {
	var out []gapBucket
	for _, b := range h.gaps.Distribution() {
		if b.Count > 0 && b.To < int64(maxGap/time.Second) {
			out = append(out, gapBucket{from: float64(b.From), to: float64(b.To), count: float64(b.Count)})
		}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Mean returns the mean gap, or initial if no gap is recorded.
func (h *GapHistogram) Mean(initial time.Duration) time.Duration {
	if h.gaps == nil || h.gaps.TotalCount() == 0 {
		return initial
	}
	return time.Duration(h.gaps.Mean() * float64(time.Second))
}
