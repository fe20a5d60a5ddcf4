//go:build race

package atmostonce_test

import "runtime"

// With several processors the race detector of Go 1.26.8 crashes in synctest
// bubbles (SIGSEGV in runtime.maybeRunChan), which is no fault of this code.
func init() { runtime.GOMAXPROCS(1) }
