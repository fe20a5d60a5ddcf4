// Package entrylink has the calls between entry instances. With them an instance
// borrows tokens of a team's quota, reads the upstreams topic from its relay, and
// lists any topic of the platform from another instance while the store does not
// answer.
package entrylink
