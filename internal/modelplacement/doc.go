// Package modelplacement decides which order an agent gives its engine next. It
// performs no I/O.
//
// It assumes many rarely used models: more than fit in memory, most with their
// weights on some engine's disk, each loaded only when a request for it arrives.
// A load from disk takes less than a second, so unloading the wrong model costs
// little. The policy mainly avoids thrashing, in which two models in demand
// displace each other in turn.
package modelplacement
