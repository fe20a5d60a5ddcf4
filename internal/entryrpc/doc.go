// Package entryrpc implements the calls between entry instances: an instance
// borrows tokens of a team's quota, reads the upstreams topic from its relay, and
// lists any topic from another instance while the platform's store does not answer.
package entryrpc
