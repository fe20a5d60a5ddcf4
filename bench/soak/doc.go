// Package soak runs the real programs as processes on loopback, with its own
// callers and upstreams, and injects random faults. Proxies delay, stall and
// reset connections, in one or both directions. Signals stop, pause, kill and
// restart processes. Upstreams crash, the store fails, and the configuration
// changes. Meanwhile the package checks the platform's guarantees against what
// callers and upstreams observe. A seed fixes the sequence of faults, but not
// the interleaving of the processes.
package soak
