//go:build race

package budget

import "runtime"

// The race detector of Go 1.26.8 crashes in synctest bubbles if GOMAXPROCS is
// above 1 (SIGSEGV in runtime.maybeRunChan). The fault is not in this code.
func init() { runtime.GOMAXPROCS(1) }
