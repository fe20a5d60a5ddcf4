//go:build race

package assignment

import "runtime"

// With GOMAXPROCS > 1 the race detector of Go 1.26.8 crashes in synctest bubbles
// (SIGSEGV in runtime.maybeRunChan). The fault is in Go, not in this code.
func init() { runtime.GOMAXPROCS(1) }
