package witness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary moment. It never steps.
type Clock func() time.Duration

// BootTime is the time since the machine was booted, the time for which it was suspended included.
// The monotonic clock of package time does not count the latter.
func BootTime() time.Duration {
	var t unix.Timespec
	// The call cannot fail for a clock that the kernel has.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}
