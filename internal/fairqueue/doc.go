// Package fairqueue implements the request queue of an entry instance in front
// of a pool of upstreams, by start-time fair queueing. The tokens served to each
// team are in proportion to the team's weight. Within a team, urgent requests are
// served before normal ones, and bulk requests have a guaranteed share of the
// team's service. Within a class, the request with the earliest deadline is served
// first.
//
// A queued request is dispatched or refused, never dropped (H3): it leaves the
// queue only through Dequeue, or when its own Wait returns.
package fairqueue
