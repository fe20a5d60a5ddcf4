// Package waitpolicy decides whether a request that cannot be sent yet waits in this
// instance, for how long, and when a caller that is turned away should come back. The
// decisions are functions of what is known and of the time; the package does no input or
// output and knows neither upstreams nor agents.
package waitpolicy
