// Package usage counts, by team and window of true time, the requests that upstreams began to run,
// and combines the counts of all entry instances.
//
// It is written for steady load of 20 to 100 requests of a team in a window, each of which has to be
// in the right window, while instances are killed, frozen, cut off or have a wrong clock.
package usage
