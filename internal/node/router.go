package node

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/routing"
)

// prefixLengths are the lengths in bytes of the body prefixes that the router
// hashes, longest first. An upstream that ran a request with the same prefix may
// still have that part of the prompt cached.
var prefixLengths = [...]int{4096, 1024, 256}

// router chooses upstreams by the policy of package routing.
//
// The homes of a checkpoint are the agents that may load it. Requests for a
// checkpoint go to its first home until that is near its limit, and only then
// to the other homes too. A purely random choice would load a cold checkpoint
// at every home in one burst: the p99 of cold starts was then 1.9 times the
// bound set by the store, against 1.0 (docs/measurements/coldstart.md).
type router struct {
	chooser *routing.Chooser
	retries *routing.RetryBudget
	// nearLimit is the set of upstreams whose last report was near their limit.
	nearLimit sync.Map
}

// nearLimitRatio is the ratio of requests in flight to the limit from which an
// upstream counts as near its limit.
const nearLimitRatio = 0.7

var _ entry.Router = (*router)(nil)

func newRouter() *router {
	return &router{
		chooser: routing.New(routing.Options{}, newRand()),
		retries: routing.NewRetryBudget(),
	}
}

// Choose implements entry.Router.
func (r *router) Choose(v *controlstate.View, req dispatch.AttemptRequest, tried []string) (entry.Choice, error) {
	members := candidates(v, req)
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.Instance
	}
	id, err := r.choose(req, ids, tried)
	if err != nil {
		return entry.Choice{}, err
	}
	m, _ := v.Members.Get(id)
	return entry.Choice{Member: m, Done: func(end dispatch.End, err error) { r.done(id, end, err) }}, nil
}

// choose tries the first home of a checkpoint alone, then all candidates.
func (r *router) choose(req dispatch.AttemptRequest, ids, tried []string) (string, error) {
	q := routing.Query{Homes: ids, Tried: tried, Prefixes: prefixHashes(req)}
	if req.Checkpoint != "" && len(ids) > 1 && len(tried) == 0 {
		firstHome := q
		firstHome.Homes = ids[:1]
		if _, nearLimit := r.nearLimit.Load(ids[0]); !nearLimit {
			if id, err := r.chooser.Choose(firstHome); err == nil {
				return id, nil
			}
		}
	}
	return r.chooser.Choose(q)
}

func (r *router) done(id string, end dispatch.End, err error) {
	if err == nil && end.Limit > 0 {
		r.recordLoad(id, end)
		r.chooser.Report(routing.LoadReport{Upstream: id, InFlight: end.InFlight, Limit: end.Limit})
	}
	r.chooser.Done(id, routingResult(err))
}

func (r *router) recordLoad(id string, end dispatch.End) {
	if float64(end.InFlight) >= nearLimitRatio*float64(end.Limit) {
		r.nearLimit.Store(id, struct{}{})
		return
	}
	r.nearLimit.Delete(id)
}

// routingResult classifies the end of an attempt by what it says about the
// upstream. A checkpoint that cannot be loaded or an expired deadline does not
// mean that other requests would fail there.
func routingResult(err error) routing.Result {
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

// AllowRetry implements entry.Router.
func (r *router) AllowRetry(attempts int) bool { return r.retries.Allow(attempts) }

// CountRequest implements entry.Router.
func (r *router) CountRequest() { r.retries.CountRequest() }

// retain drops the state of upstreams that are no longer in the view.
func (r *router) retain(v *controlstate.View) {
	inView := func(id string) bool {
		_, ok := v.Members.Get(id)
		return ok
	}
	r.chooser.Retain(inView)
	r.nearLimit.Range(func(id, _ any) bool {
		if !inView(id.(string)) {
			r.nearLimit.Delete(id)
		}
		return true
	})
}

// prefixHashes returns the hashes of the body's prefixes, seeded with the
// checkpoint, longest first. Requests without a checkpoint have none.
func prefixHashes(req dispatch.AttemptRequest) []uint64 {
	if req.Checkpoint == "" {
		return nil
	}
	var out []uint64
	for _, n := range prefixLengths {
		if len(req.Body) >= n {
			h := xxhash.New()
			_, _ = h.WriteString(req.Checkpoint)
			_, _ = h.Write(req.Body[:n])
			out = append(out, h.Sum64())
		}
	}
	return out
}
