package residency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxGap is the longest gap that is told apart from longer ones; no replica
	// is worth keeping idle for longer.
	maxGap = 6 * time.Hour
	// gapFigures of 1 keeps the histogram of a checkpoint at about 2 kB.
	gapFigures = 1
	// minGaps is the number of gaps from which the learned window is used. With 3
	// the first gaps of rarely used checkpoints cost more idle time than they
	// saved: 0.53 of the fixed time's idle hours instead of 0.49.
	minGaps = 1
)

// GapHistogram learns when a checkpoint is worth holding from the gaps between its
// uses. The zero value has learned nothing. It is not safe for concurrent use.
type GapHistogram struct {
	gaps *hdrhistogram.Histogram
	// window and price are the last result and what it was computed for.
	window KeepWarmWindow
	price  time.Duration
}

// Record adds a gap between the end of one use and the start of the next.
// Gaps below a second are no reason to unload and are left out.
func (w *GapHistogram) Record(gap time.Duration) {
	if gap < time.Second {
		return
	}
	if w.gaps == nil {
		w.gaps = hdrhistogram.New(1, int64(maxGap/time.Second), gapFigures)
	}
	_ = w.gaps.RecordValue(int64(min(gap, maxGap) / time.Second))
	w.price = 0
}

// Window returns the window that would have cost the least over the gaps seen.
// Price is the idle time that is worth one cold start; the window of the first
// `initial` is returned until enough gaps are known.
func (w *GapHistogram) Window(initial, price time.Duration) KeepWarmWindow {
	if w.gaps == nil || w.gaps.TotalCount() < minGaps {
		return KeepWarmWindow{To: initial}
	}
	if w.price != price {
		w.window, w.price = w.choose(price.Seconds()), price
	}
	return w.window
}

// gapBar is a group of about equal gaps.
type gapBar struct {
	from, to, count float64
}

// choose tries every window that begins at 0 or at a bar and ends at a bar. A
// gap that ends in the window costs the idle time since the window began; any
// other costs a cold start, and the whole window if it is longer.
func (w *GapHistogram) choose(price float64) KeepWarmWindow {
	bars, total := w.bars(), float64(w.gaps.TotalCount())
	best, bestCost := KeepWarmWindow{}, total*price
	for i := -1; i < len(bars); i++ {
		begin, reload := 0.0, 0.0
		if i >= 0 {
			begin, reload = bars[i].from, plannedReload.Seconds()
		}
		if i >= 0 && begin <= (MinKeepWarm+2*ReloadLead).Seconds() {
			continue
		}
		before := 0.0
		for _, b := range bars[:max(0, i)] {
			before += b.count
		}
		inside, idle := 0.0, 0.0
		for _, b := range bars[max(0, i):] {
			inside += b.count
			idle += b.count * (b.to - begin)
			longer := total - before - inside
			cost := before*price + idle + longer*(b.to-begin+price) + (inside+longer)*reload
			if cost < bestCost {
				best, bestCost = KeepWarmWindow{From: seconds(begin), To: seconds(b.to + 1)}, cost
			}
		}
	}
	return best
}

// bars lists the gaps seen, without the last bar, which holds those that are
// too long to bridge.
func (w *GapHistogram) bars() []gapBar {
	var out []gapBar
	for _, b := range w.gaps.Distribution() {
		if b.Count > 0 && b.To < int64(maxGap/time.Second) {
			out = append(out, gapBar{from: float64(b.From), to: float64(b.To), count: float64(b.Count)})
		}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Mean returns the mean gap, or initial while none is known.
func (w *GapHistogram) Mean(initial time.Duration) time.Duration {
	if w.gaps == nil || w.gaps.TotalCount() == 0 {
		return initial
	}
	return time.Duration(w.gaps.Mean() * float64(time.Second))
}
