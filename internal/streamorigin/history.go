package streamorigin

import "time"

// history is which versions of one service this instance has seen in the list of upstreams.
type history struct {
	// listed are the versions in the list. gone has when versions were last in it that are
	// there no longer.
	listed map[string]bool
	gone   map[string]time.Time
}

func newHistory() *history {
	return &history{listed: make(map[string]bool), gone: make(map[string]time.Time)}
}

// update applies a new list, and forgets versions that have been gone for the retention time.
func (h *history) update(listed map[string]bool, now time.Time, retention time.Duration) {
	for v := range h.listed {
		if !listed[v] {
			h.gone[v] = now
		}
	}
	for v, at := range h.gone {
		if listed[v] || now.Sub(at) >= retention {
			delete(h.gone, v)
		}
	}
	h.listed = listed
}

// several returns how long ago the service last had several versions, and false if it had one
// at most for the retention time.
func (h *history) several(now time.Time, retention time.Duration) (time.Duration, bool) {
	if len(h.listed) > 1 {
		return 0, true
	}
	ago, found := retention, false
	for _, at := range h.gone {
		if len(h.listed)+len(h.gone) > 1 && now.Sub(at) < ago {
			ago, found = now.Sub(at), true
		}
	}
	return ago, found
}

// sole returns the only version in the list, and false if there is none or more than one.
func (h *history) sole() (string, bool) {
	if len(h.listed) != 1 {
		return "", false
	}
	for v := range h.listed {
		return v, true
	}
	return "", false
}
