// Package topic follows the keyed topics of the platform's store and publishes
// what they say as a view: the operators' configuration, the upstreams and the
// members of the system.
//
// The store may be away, or refuse only this instance. The last view stays in
// force then, and a fallback source, other instances, is asked for newer records.
package topic
