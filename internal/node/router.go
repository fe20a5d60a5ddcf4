package node

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/routing"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// prefixBlocks are the lengths of the body prefixes, in bytes, that are
// matched against what an upstream may have cached; longest first.
var prefixBlocks = [...]int{4096, 1024, 256}

// router chooses upstreams by the policy of package routing.
//
// Requests for a checkpoint go to its first home while that has room, and
// spread over the others only then. In a burst for a cold checkpoint the
// random choice alone loads it at every home: the p99 of cold starts was 1.9
// times the store's bound against 1.0 (docs/measurements/coldstart.md).
type router struct {
	chooser *routing.Chooser
	retries *routing.RetryBudget
	// crowded holds the upstreams whose last report showed little room.
	crowded sync.Map
}

// crowdedAt is the part of its limit from which an upstream counts as crowded.
const crowdedAt = 0.7

var _ entry.Router = (*router)(nil)

func newRouter() *router {
	return &router{
		chooser: routing.New(routing.Options{}, newRand()),
		retries: routing.NewRetryBudget(),
	}
}

// Choose implements entry.Router.
func (r *router) Choose(v *fold.View, o work.Order, tried []string) (entry.Choice, error) {
	members := candidates(v, o)
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.Instance
	}
	id, err := r.choose(o, ids, tried)
	if err != nil {
		return entry.Choice{}, err
	}
	m, _ := v.Members.Get(id)
	return entry.Choice{Member: m, Done: func(end work.End, err error) { r.done(id, end, err) }}, nil
}

// choose tries the first home alone before all of them.
func (r *router) choose(o work.Order, ids, tried []string) (string, error) {
	q := routing.Query{Homes: ids, Tried: tried, Prefixes: prefixes(o)}
	if o.Checkpoint != "" && len(ids) > 1 && len(tried) == 0 {
		first := q
		first.Homes = ids[:1]
		if _, crowded := r.crowded.Load(ids[0]); !crowded {
			if id, err := r.chooser.Choose(first); err == nil {
				return id, nil
			}
		}
	}
	return r.chooser.Choose(q)
}

func (r *router) done(id string, end work.End, err error) {
	if err == nil && end.Limit > 0 {
		r.note(id, end)
		r.chooser.Report(routing.LoadReport{Upstream: id, InFlight: end.InFlight, Limit: end.Limit})
	}
	r.chooser.Done(id, result(err))
}

func (r *router) note(id string, end work.End) {
	if float64(end.InFlight) >= crowdedAt*float64(end.Limit) {
		r.crowded.Store(id, struct{}{})
		return
	}
	r.crowded.Delete(id)
}

// result tells what a failure says of the upstream. A checkpoint that cannot
// be loaded or a passed deadline says nothing about other requests.
func result(err error) routing.Result {
	if err == nil {
		return routing.OK
	}
	switch errkind.From(err).Kind {
	case errkind.UpstreamBusy, errkind.Draining, errkind.DataCentreOut, errkind.ViewStale, errkind.NotHome:
		return routing.Refused
	case errkind.UpstreamUnavailable, errkind.UpstreamFailed, errkind.UpstreamCrashed, errkind.StreamCut:
		return routing.Failed
	default:
		return routing.Cancelled
	}
}

// MayRetry implements entry.Router.
func (r *router) MayRetry(attempts int) bool { return r.retries.Allow(attempts) }

// Started implements entry.Router.
func (r *router) Started() { r.retries.CountRequest() }

// retain forgets upstreams that the view no longer has.
func (r *router) retain(v *fold.View) {
	live := func(id string) bool {
		_, ok := v.Members.Get(id)
		return ok
	}
	r.chooser.Retain(live)
	r.crowded.Range(func(id, _ any) bool {
		if !live(id.(string)) {
			r.crowded.Delete(id)
		}
		return true
	})
}

// prefixes returns the hashes of the body's prefixes under the checkpoint.
func prefixes(o work.Order) []uint64 {
	if o.Checkpoint == "" {
		return nil
	}
	var out []uint64
	for _, n := range prefixBlocks {
		if len(o.Body) >= n {
			h := xxhash.New()
			_, _ = h.WriteString(o.Checkpoint)
			_, _ = h.Write(o.Body[:n])
			out = append(out, h.Sum64())
		}
	}
	return out
}
