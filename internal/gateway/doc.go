// Package gateway takes callers' requests, finds their route and team, and
// passes them to upstreams unchanged. It decides what may be sent again, when a
// request is given up, and which answer says so.
package gateway
