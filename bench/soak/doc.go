// Package soak runs the real programs as processes on loopback, between callers
// and upstreams of its own, and injects random faults from outside: a proxy
// delays, resets, silences and cuts connections one way; signals stop, pause,
// kill and restart processes; upstreams crash; the store fails; configurations
// change. It checks the promises from what callers and upstreams see while it
// runs. A seed fixes the series of faults, not the interleaving of processes.
package soak
