package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// targetUse is the share of the slots that is to be in use. With random arrivals, requests begin
	// to wait noticeably above it.
	targetUse = 0.7
	// saturatedUse is the share above which callers are refused whose demand is not seen, and
	// saturatedGrowth by how much the servers are then too few at least.
	saturatedUse    = 0.95
	saturatedGrowth = 1.5
	// maxTrend bounds the forecast, as a multiple of the present demand.
	maxTrend = 2.0
	// trendTime is from how long back the trend is taken. One sample differs by chance, so fewer than
	// minTrendSamples have none.
	trendTime       = 30 * time.Second
	minTrendSamples = 4
)

// Decide returns the number of servers wanted by data centre, and what to remember. It scales up at once,
// to what is needed when a server ordered now serves. It scales down by one server after each whole
// Limits.Boot in which fewer were enough.
func Decide(before State, in Input) (State, map[string]int) {
	after := State{dataCentres: make(map[string]memory, len(in.DataCentres))}
	needs := make(map[string]float64)
	for name, dc := range in.DataCentres {
		m := before.dataCentres[name]
		m.samples = recent(slices.Clone(m.samples), in.Now)
		if len(m.samples) == 0 {
			m = memory{} // another instance has decided meanwhile
		}
		if dc.Ordered > 0 {
			m.desired = dc.Ordered
		}
		if m.desired == 0 {
			m.desired = max(dc.Running, in.Limits.Min)
		}
		m.samples = append(m.samples, sample{in.Now, dc.Busy})
		needs[name] = dc.need(forecast(m.samples, in.Limits.Boot))
		after.dataCentres[name] = m
	}
	moveDemand(needs, in)
	wanted := make(map[string]int, len(in.DataCentres))
	for name, m := range after.dataCentres {
		need := min(max(int(math.Ceil(needs[name])), in.Limits.Min), max(in.Limits.Min, in.Limits.Max))
		m = m.move(need, in)
		after.dataCentres[name], wanted[name] = m, m.desired
	}
	return after, wanted
}

// need returns the servers for a demand, before it is rounded.
func (d DataCentre) need(busy float64) float64 {
	slots := float64(max(1, d.Slots))
	need := busy / (slots * targetUse)
	if d.Running > 0 && d.Busy >= saturatedUse*slots*float64(d.Running) {
		need = max(need, saturatedGrowth*float64(d.Running))
	}
	return need
}

// move brings the wanted number towards the needed one.
func (m memory) move(need int, in Input) memory {
	m.desired = min(m.desired, max(in.Limits.Min, in.Limits.Max))
	switch {
	case need >= m.desired:
		m.desired, m.surplusSince = need, time.Time{}
	case m.surplusSince.IsZero():
		m.surplusSince = in.Now
	case in.Now.Sub(m.surplusSince) >= in.Limits.Boot:
		m.desired, m.surplusSince = m.desired-1, in.Now
	}
	return m
}

// moveDemand moves the needs of data centres that are out to the others, and adds what these need if one
// of them is lost.
func moveDemand(needs map[string]float64, in Input) {
	var open []string
	out, total := 0.0, 0.0
	for name, dc := range in.DataCentres {
		if dc.Out {
			out += needs[name]
			needs[name] = 0
		} else {
			open = append(open, name)
		}
	}
	for _, name := range open {
		needs[name] += out / float64(len(open))
		total += needs[name]
	}
	if !in.SurviveLoss || len(open) < 2 {
		return
	}
	for _, name := range open {
		needs[name] = max(needs[name], total/float64(len(open)-1))
	}
}

func recent(samples []sample, now time.Time) []sample {
	return slices.DeleteFunc(samples, func(s sample) bool { return now.Sub(s.at) > trendTime })
}

// forecast returns the demand after a time: the mean of the last two samples, and the linear trend if it
// rises.
func forecast(samples []sample, after time.Duration) float64 {
	last := samples[max(0, len(samples)-2):]
	current := 0.0
	for _, s := range last {
		current += s.busy / float64(len(last))
	}
	if len(samples) < minTrendSamples {
		return current
	}
	var n, sx, sy, sxx, sxy float64
	origin := samples[0].at
	for _, s := range samples {
		x := s.at.Sub(origin).Seconds()
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+s.busy, sxx+x*x, sxy+x*s.busy
	}
	if d := n*sxx - sx*sx; d > 0 {
		slope := (n*sxy - sx*sy) / d
		return min(maxTrend*current, current+max(0, slope)*after.Seconds())
	}
	return current
}
