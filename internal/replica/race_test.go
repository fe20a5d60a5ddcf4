//go:build race

package replica_test

import (
	"os"
	"runtime"
	"testing"
)

const raceDetector = true

// TestMain runs the tests on one processor. On several, the race detector of Go
// 1.26 aborts with a failed internal check (tsan_rtl.cpp:346) when timers of
// many synctest bubbles fire. It still detects races on one processor, because
// it orders accesses by their synchronization.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
