package topicwatch

import "time"

// PollSchedule is how often a topic is read, and with which long-poll wait.
type PollSchedule struct {
	// MaxWait is how long a read waits for new records; 0 returns at once.
	MaxWait time.Duration
	// Interval is the minimum time between the starts of two reads.
	Interval time.Duration
}

// Schedules of the topics. Operator records are rare, so a long poll costs one
// call every few seconds and still delivers a change within milliseconds. Every
// heartbeat of an upstream is a record, so a long poll on that topic would return
// all the time; it is read at a fixed interval.
//
// A connection on which an answer is lost goes silent, which a read notices only after its
// whole wait. For the topics on which every request depends, the wait and the timeout of a
// call are together shorter than the platform's shortest time of contact, 3 s.
var (
	operatorSchedule = PollSchedule{MaxWait: 2100 * time.Millisecond}
	upstreamSchedule = PollSchedule{Interval: 600 * time.Millisecond}
	// Processes start in groups, so an interval lets one read return many members.
	memberSchedule = PollSchedule{MaxWait: 12 * time.Second, Interval: 1500 * time.Millisecond}
	// All instances may report one crash, so an interval lets one read return many reports.
	crashSchedule = PollSchedule{MaxWait: 1500 * time.Millisecond, Interval: 150 * time.Millisecond}
	// Agents use only the model sizes of the configuration, not the API keys, so they
	// can learn of a change later and their reads may wait longer.
	agentOperatorSchedule = PollSchedule{MaxWait: 20 * time.Second}
)

// The time between the starts of two reads while the source fails begins at
// minRetryInterval and doubles up to maxRetryInterval. A store that turns many processes
// away for seconds would otherwise get more calls than it serves in good times.
const (
	minRetryInterval = 250 * time.Millisecond
	maxRetryInterval = time.Second
)
