package policy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/routing"
)

const (
	crowdTime = 30 * time.Second
	// reportEvery and cacheLag are the lags of load reports and cache events.
	reportEvery = time.Second
	cacheLag    = 2 * time.Second
	// runMean is the mean time of a request at an upstream.
	runMean = 2 * time.Second
	// crowdLoad is the offered load relative to all limits together.
	crowdLoad = 0.5
	// crowdPrefixes is the number of prefixes per server; they do not all fit
	// into one cache.
	crowdPrefixes = 4
	// lostEvents is one in so many cache events.
	lostEvents = 20
)

// crowd is one run of a routing experiment.
type crowd struct {
	size     crowdSize
	rng      *rand.Rand
	choosers []chooser
	servers  []*server
	homes    []string

	mu       sync.Mutex
	requests int
	refused  int
	hits     int
	// spread collects the ratio of the most loaded upstream to the mean.
	spread []float64
}

// play offers the load and returns when all requests have ended.
func (c *crowd) play() {
	var running sync.WaitGroup
	running.Go(c.reports)
	perS := crowdLoad * crowdLimit * float64(c.size.servers) / runMean.Seconds()
	start := time.Now()
	at := time.Duration(0)
	for at < crowdTime {
		at += time.Duration(c.rng.ExpFloat64() / perS * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		entry := c.choosers[c.rng.IntN(len(c.choosers))]
		prefix := uint64(c.rng.IntN(crowdPrefixes*c.size.servers)) + 1
		run := time.Duration(c.rng.ExpFloat64() * float64(runMean))
		lost := c.rng.IntN(lostEvents) == 0
		running.Go(func() { c.request(entry, prefix, run, lost) })
	}
	running.Wait()
}

// request tries up to three homes.
func (c *crowd) request(entry chooser, prefix uint64, run time.Duration, lost bool) {
	q := routing.Query{Homes: c.homes, Prefixes: []uint64{prefix}}
	served, hit := false, false
	for range routing.MaxAttempts {
		id, err := entry.Choose(q)
		if err != nil || id == "" {
			break
		}
		s := c.servers[slices.Index(c.homes, id)]
		var events []routing.CacheEvent
		served, hit, events = s.begin(prefix)
		if !served {
			entry.Done(id, routing.Refused)
			q.Tried = append(q.Tried, id)
			continue
		}
		go c.spreadEvents(events, lost)
		time.Sleep(run)
		s.end()
		entry.Done(id, routing.OK)
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if !served {
		c.refused++
	}
	if hit {
		c.hits++
	}
}

// spreadEvents delivers cache events late; some are lost.
func (c *crowd) spreadEvents(events []routing.CacheEvent, lost bool) {
	time.Sleep(cacheLag)
	if lost {
		return
	}
	for _, e := range events {
		for _, entry := range c.choosers {
			entry.Cache(e)
		}
	}
}

// reports sends each upstream's load to every entry instance once a second,
// and samples the loads in between.
func (c *crowd) reports() {
	const samples = 5
	for tick := 0; tick < int(crowdTime/reportEvery)*samples; tick++ {
		time.Sleep(reportEvery / samples)
		c.sample()
		if tick%samples != 0 {
			continue
		}
		for _, s := range c.servers {
			r := routing.LoadReport{Upstream: s.id, InFlight: s.load(), Limit: crowdLimit}
			for _, entry := range c.choosers {
				entry.Report(r)
			}
		}
	}
}

func (c *crowd) sample() {
	most, sum := 0, 0
	for _, s := range c.servers {
		load := s.load()
		most = max(most, load)
		sum += load
	}
	if sum > 0 {
		c.spread = append(c.spread, float64(most)*float64(len(c.servers))/float64(sum))
	}
}
