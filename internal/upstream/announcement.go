package upstream

import (
	"net/http"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// announcementTTL is how long what an upstream said of itself is kept after it is no longer
// listed. Its entry may lapse while the store is out and come back.
const announcementTTL = 10 * time.Minute

// announcements are what an upstream said in its responses to this instance. They hold for
// this start of the upstream, whatever the store's list says of it.
type announcements struct {
	// leavingSince is when it first said that it leaves; zero if it has not.
	leavingSince time.Time
	// pausedUntil is until when it wants no requests from this instance.
	pausedUntil time.Time
}

// pause returns for how long the upstream wants no requests yet.
func (a *announcements) pause(now time.Time) time.Duration { return max(0, a.pausedUntil.Sub(now)) }

// inForce reports whether the announcements still matter if the upstream is listed again.
func (a *announcements) inForce(now time.Time) bool {
	return !a.leavingSince.IsZero() && now.Sub(a.leavingSince) < announcementTTL || a.pause(now) > 0
}

// Announced records what the upstream says of itself in a response with this status. leaves
// reports whether it now says for the first time that it leaves, and pause for how long it
// wants no requests from this instance. A response of another upstream at the same address
// says nothing.
func (t *Ticket) Announced(status int, a fleet.ResponseAttributes) (leaves bool, pause time.Duration) {
	now := time.Now()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	s := t.state
	if a.Instance != s.upstream.ID && (a.Instance != "" || status == http.StatusMisdirectedRequest) {
		return false, 0
	}
	if status == http.StatusServiceUnavailable {
		pause = a.RetryAfter
	}
	// Each response holds until its own time: a later one does not shorten an earlier one.
	if until := now.Add(pause); until.After(s.said.pausedUntil) {
		s.said.pausedUntil = until
	}
	if a.Leaving && s.said.leavingSince.IsZero() {
		s.said.leavingSince = now
		s.noteLeaving(now)
		return true, pause
	}
	return false, pause
}
