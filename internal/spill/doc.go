// Package spill decides whether a request leaves its data centre. It does no I/O and reads no
// clock: it gets the best upstream on each side with what is known of its load, and the time.
//
// It handles data centres whose upstreams are at times too few (a burst, a loss of upstreams,
// uneven shares), reports of load that are up to 300 ms old, and many instances that decide
// from the same reports at the same moment. Without it, a constant compares two upstreams of
// about the same load, so that about two thirds of all requests cross between three data
// centres, which is charged by the byte.
package spill
