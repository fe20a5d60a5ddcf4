// Package gateway is the HTTP proxy between callers and upstreams. It finds the
// route and the team of a request and forwards the request to an upstream with
// its path and body unchanged. It decides whether a request may be retried, when
// to stop trying, and which error response the caller gets.
package gateway
