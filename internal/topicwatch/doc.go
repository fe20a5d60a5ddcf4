// Package topicwatch watches the keyed topics of the platform's store and publishes
// their records as a fleet.View: the operators' configuration, the upstreams and
// the processes of this system (members).
//
// While the store is down, or unreachable from this instance only, the last view
// stays in effect and the follower asks other instances for newer records.
package topicwatch
