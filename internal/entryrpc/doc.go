// Package entryrpc implements the calls between entry instances: an instance
// borrows tokens of a team's quota, reads the upstreams topic from its relay, and, while
// the platform's store does not answer, lists any topic from another instance and sends its
// report of crashed upstreams to all of them.
package entryrpc
