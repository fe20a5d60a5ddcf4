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
}

// inForce reports whether the announcements still matter if the upstream is listed again.
func (a *announcements) inForce(now time.Time) bool {
	return !a.leavingSince.IsZero() && now.Sub(a.leavingSince) < announcementTTL
}

// Announced records what the upstream says of itself in a response with this status, and
// reports whether it now says for the first time that it leaves. A response of another
// upstream at the same address says nothing.
func (t *Ticket) Announced(status int, a fleet.ResponseAttributes) (leaves bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	s := t.state
	if a.Instance != s.upstream.ID && (a.Instance != "" || status == http.StatusMisdirectedRequest) {
		return false
	}
	if a.Leaving && s.said.leavingSince.IsZero() {
		s.said.leavingSince = time.Now()
		return true
	}
	return false
}
