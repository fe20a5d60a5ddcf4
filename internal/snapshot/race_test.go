//go:build race

package snapshot

import "runtime"

// With GOMAXPROCS above 1, the race detector of Go 1.26.8 crashes in synctest
// bubbles (SIGSEGV in runtime.maybeRunChan). The cause is not in this code.
func init() { runtime.GOMAXPROCS(1) }
