//go:build race

package fairqueue

import "runtime"

// With GOMAXPROCS above 1, the race detector of Go 1.26.8 crashes in synctest
// bubbles (SIGSEGV in runtime.maybeRunChan). The fault is in the Go runtime.
func init() { runtime.GOMAXPROCS(1) }
