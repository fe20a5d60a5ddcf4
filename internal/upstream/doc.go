// Package upstream keeps what an entry instance sees of each upstream, own
// requests, failures, cold starts, reports of the agent, and chooses one for
// each attempt of a request.
package upstream
