//go:build race

package residency

import "runtime"

// With several processors the race detector of Go 1.26.8 crashes in synctest
// bubbles (SIGSEGV in runtime.maybeRunChan). This code does not cause the crash.
func init() { runtime.GOMAXPROCS(1) }
