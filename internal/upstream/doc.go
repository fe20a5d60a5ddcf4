// Package upstream tracks the state of each upstream as seen by one entry
// instance (its own requests and failures, cold starts, and the agent's
// reports) and chooses an upstream for each attempt of a request.
package upstream
