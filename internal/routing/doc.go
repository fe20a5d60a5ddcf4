// Package routing chooses an upstream for each attempt of a request, among the
// homes of the model (the upstreams assigned to hold it). It compares the load of
// two random homes and takes the less loaded one. A home that caches a prefix of
// the prompt is preferred as long as its load is within a bound.
//
// The load of an upstream is the number of requests that this instance has in
// flight there plus the reported number of the other instances. Load reports lag
// by about a second. If every instance took the upstream with the least reported
// load, all would send all their requests to the same one until the next report.
// The instance's own count does not lag, and each instance draws other random
// pairs.
package routing
