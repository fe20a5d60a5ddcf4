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
	upstreamSchedule = PollSchedule{Interval: 600 * time.Millisecond}
	// All instances may report one crash, so an interval lets one read return many reports.
	crashSchedule = PollSchedule{MaxWait: 1500 * time.Millisecond, Interval: 150 * time.Millisecond}
)

// Waits for records of the operators.
const (
	// defaultApplyTime is the platform's shortest time within which a change is in force.
	defaultApplyTime = 2 * time.Second
	// operatorWaitShare is which share of that time a read waits at most. A read that arrives
	// while a record is being written gets it only at the end of its wait, and the rest is
	// for the way of the answer.
	operatorWaitShare = 0.8
	maxOperatorWait   = 2500 * time.Millisecond
	// longOperatorWait is that of agents. They use only the model sizes of the configuration,
	// not the API keys, so they can learn of a change later.
	longOperatorWait = 20 * time.Second
)

// Waits for records of members.
const (
	// memberWaitShare is which share of the quota window a read waits at most: an instance that
	// becomes a holder of a team's quota counts its part as spent for a window, in which all
	// others have to learn of it. The rest is for the timeout of a call.
	memberWaitShare = 0.9
	maxMemberWait   = 12 * time.Second
	// memberInterval lets one read return many members, since processes start in groups.
	memberInterval = 1500 * time.Millisecond
)

func memberSchedule(quotaWindow time.Duration) PollSchedule {
	wait := maxMemberWait
	if quotaWindow > 0 {
		wait = min(wait, time.Duration(memberWaitShare*float64(quotaWindow)))
	}
	return PollSchedule{MaxWait: wait, Interval: memberInterval}
}

func operatorSchedule(applyTime time.Duration, long bool) PollSchedule {
	if long {
		return PollSchedule{MaxWait: longOperatorWait}
	}
	if applyTime <= 0 {
		applyTime = defaultApplyTime
	}
	return PollSchedule{MaxWait: min(maxOperatorWait, time.Duration(operatorWaitShare*float64(applyTime)))}
}

// The time between the starts of two reads while the source fails begins at
// minRetryInterval and doubles up to maxRetryInterval. A store that turns many processes
// away for seconds would otherwise get more calls than it serves in good times.
const (
	minRetryInterval = 250 * time.Millisecond
	maxRetryInterval = time.Second
)
