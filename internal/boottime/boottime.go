// Package boottime reads the clock of the machine that also counts while the machine is suspended,
// unlike the monotonic clock of package time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the fallback in Now.
var processStart = time.Now()

// Now returns the time since the machine booted. Where the kernel has no such clock, it returns
// the monotonic time since the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
