package witness

import "time"

// Lease is how long after it made a confirmed report an instance stays within one step of it. The
// platform restarts a process after about 1 s, a process on 0.11 of a core takes up to 1 s until it
// listens, and the age of a lease at the end of a process is up to two heartbeatIntervals. While no
// witness can be reached, teams that need more than a step are refused until the lease ends, so it
// is no longer than these times together.
const Lease = 3 * time.Second

// ClockMargin covers the different rates of the boot-time clocks of two machines, of which one
// measures the lease and the other its age. It allows for 3%.
const ClockMargin = 100 * time.Millisecond
