package fairqueue

// team holds the waiting requests of one team and its service accounts.
type team struct {
	id     string
	weight float64
	// tag is the team's virtual start time: tokens served by weight. The
	// waiting team with the least tag is served next.
	tag   float64
	lanes [classCount]lane
	// index is the position among the active teams, -1 while nothing waits.
	index int
	// size is the number of waiting requests.
	size int
	// bulkTag and restTag are the virtual start times of bulk and of the other
	// classes within the team, by their guaranteed shares.
	bulkTag float64
	restTag float64
}

// hasRest reports whether a request of a class other than bulk waits.
func (t *team) hasRest() bool { return t.lanes[Urgent].Len()+t.lanes[Normal].Len() > 0 }

// enter adds a ticket. A part of the team that was idle does not save up
// service: it starts level with the other part.
func (t *team) enter(ticket *QueuedRequest) {
	if ticket.Class == Bulk && t.lanes[Bulk].Len() == 0 && t.hasRest() {
		t.bulkTag = max(t.bulkTag, t.restTag)
	}
	if ticket.Class != Bulk && !t.hasRest() && t.lanes[Bulk].Len() > 0 {
		t.restTag = max(t.restTag, t.bulkTag)
	}
	t.lanes[ticket.Class].add(ticket)
	t.size++
}

func (t *team) leave(ticket *QueuedRequest) {
	t.lanes[ticket.Class].remove(ticket)
	t.size--
}

// next returns the lane to serve. The team must have waiting requests.
func (t *team) next() *lane {
	if t.lanes[Bulk].Len() > 0 && (!t.hasRest() || t.bulkTag < t.restTag) {
		return &t.lanes[Bulk]
	}
	if t.lanes[Urgent].Len() > 0 {
		return &t.lanes[Urgent]
	}
	return &t.lanes[Normal]
}

// charge accounts for tokens served.
func (t *team) charge(class Class, tokens, bulkShare float64) {
	t.tag += tokens / t.weight
	if class == Bulk {
		t.bulkTag += tokens / bulkShare
		return
	}
	t.restTag += tokens / (1 - bulkShare)
}

// ahead returns the tokens of the team that are served before r, given that
// bulk and the rest share by their guarantees while both wait.
func (t *team) ahead(r *Request, bulkShare float64) float64 {
	rest := t.lanes[Urgent].tokens + t.lanes[Normal].tokens
	if r.Class == Bulk {
		return withOther(t.lanes[Bulk].ahead(r), rest, bulkShare)
	}
	before := t.lanes[r.Class].ahead(r)
	if r.Class == Normal {
		before += t.lanes[Urgent].tokens
	}
	return withOther(before, t.lanes[Bulk].tokens, 1-bulkShare)
}

// withOther returns what is served in all until own tokens are served at the
// given share, where the other part holds other tokens.
func withOther(own, other, share float64) float64 {
	return own + min(other, own/share*(1-share))
}
