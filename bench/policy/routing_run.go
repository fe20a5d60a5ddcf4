package policy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/routing"
)

const (
	routingRunTime = 30 * time.Second
	// reportInterval is the time between load reports; cacheEventLag is the delay
	// with which cache events reach the routers.
	reportInterval = time.Second
	cacheEventLag  = 2 * time.Second
	// meanServiceTime is the mean time that a request runs on an upstream.
	meanServiceTime = 2 * time.Second
	// routingLoad is the offered load relative to the sum of the servers' limits.
	routingLoad = 0.5
	// prefixesPerServer times the number of servers is the number of distinct prompt
	// prefixes. One server cannot cache all of them.
	prefixesPerServer = 4
	// One request in cacheEventLossInterval loses its cache events.
	cacheEventLossInterval = 20
)

// routingRun is one run of the load imbalance experiment.
type routingRun struct {
	size    fleetSize
	rng     *rand.Rand
	routers []entryRouter
	servers []*server
	homes   []string

	mu        sync.Mutex
	requests  int
	refused   int
	cacheHits int
	// imbalance holds samples of the highest load of an upstream relative to the mean.
	imbalance []float64
}

// simulate sends the workload and returns when all requests have ended.
func (r *routingRun) simulate() {
	var wg sync.WaitGroup
	wg.Go(r.sendReports)
	perS := routingLoad * serverMaxInFlight * float64(r.size.servers) / meanServiceTime.Seconds()
	start := time.Now()
	at := time.Duration(0)
	for at < routingRunTime {
		at += time.Duration(r.rng.ExpFloat64() / perS * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		router := r.routers[r.rng.IntN(len(r.routers))]
		prefix := uint64(r.rng.IntN(prefixesPerServer*r.size.servers)) + 1
		serviceTime := time.Duration(r.rng.ExpFloat64() * float64(meanServiceTime))
		lost := r.rng.IntN(cacheEventLossInterval) == 0
		wg.Go(func() { r.request(router, prefix, serviceTime, lost) })
	}
	wg.Wait()
}

// request sends one request and retries a refused one on other homes, with at most
// routing.MaxAttempts attempts.
func (r *routingRun) request(router entryRouter, prefix uint64, serviceTime time.Duration, lost bool) {
	query := routing.Query{Homes: r.homes, Prefixes: []uint64{prefix}}
	served, cacheHit := false, false
	for range routing.MaxAttempts {
		id, err := router.Choose(query)
		if err != nil || id == "" {
			break
		}
		s := r.servers[slices.Index(r.homes, id)]
		var events []routing.CacheEvent
		served, cacheHit, events = s.begin(prefix)
		if !served {
			router.Done(id, routing.Refused)
			query.Tried = append(query.Tried, id)
			continue
		}
		go r.deliverEvents(events, lost)
		time.Sleep(serviceTime)
		s.end()
		router.Done(id, routing.OK)
		break
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if !served {
		r.refused++
	}
	if cacheHit {
		r.cacheHits++
	}
}

// deliverEvents delivers cache events to all routers after cacheEventLag, unless
// they are lost.
func (r *routingRun) deliverEvents(events []routing.CacheEvent, lost bool) {
	time.Sleep(cacheEventLag)
	if lost {
		return
	}
	for _, e := range events {
		for _, router := range r.routers {
			router.Cache(e)
		}
	}
}

// sendReports sends each upstream's load to every entry instance once a second and
// samples the loads five times a second.
func (r *routingRun) sendReports() {
	const samples = 5
	for tick := 0; tick < int(routingRunTime/reportInterval)*samples; tick++ {
		time.Sleep(reportInterval / samples)
		r.sample()
		if tick%samples != 0 {
			continue
		}
		for _, s := range r.servers {
			report := routing.LoadReport{Upstream: s.id, InFlight: s.load(), Limit: serverMaxInFlight}
			for _, router := range r.routers {
				router.Report(report)
			}
		}
	}
}

func (r *routingRun) sample() {
	highest, sum := 0, 0
	for _, s := range r.servers {
		load := s.load()
		highest = max(highest, load)
		sum += load
	}
	if sum > 0 {
		r.imbalance = append(r.imbalance, float64(highest)*float64(len(r.servers))/float64(sum))
	}
}
