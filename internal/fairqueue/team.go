package fairqueue

// team holds the waiting requests of one team and the service it has received.
type team struct {
	id     string
	weight float64
	// startTag is the team's virtual start time: the tokens served so far, divided
	// by the weight. The waiting team with the lowest start tag is served next.
	startTag float64
	queues   [classCount]classQueue
	// index is the position in the heap of active teams, -1 if no request waits.
	index int
	// size is the number of waiting requests.
	size int
	// bulkStartTag and nonBulkStartTag are the virtual start times, within the
	// team, of bulk requests and of the other classes. Their guaranteed shares
	// serve as weights.
	bulkStartTag    float64
	nonBulkStartTag float64
}

// hasNonBulk reports whether a request of a class other than bulk waits.
func (t *team) hasNonBulk() bool { return t.queues[Urgent].Len()+t.queues[Normal].Len() > 0 }

// add adds a request. Bulk requests get no credit for the time in which only other
// classes were waiting, and the other way round: when the idle side gets its first
// request, its start tag is raised to that of the other side.
func (t *team) add(queued *QueuedRequest) {
	if queued.Class == Bulk && t.queues[Bulk].Len() == 0 && t.hasNonBulk() {
		t.bulkStartTag = max(t.bulkStartTag, t.nonBulkStartTag)
	}
	if queued.Class != Bulk && !t.hasNonBulk() && t.queues[Bulk].Len() > 0 {
		t.nonBulkStartTag = max(t.nonBulkStartTag, t.bulkStartTag)
	}
	t.queues[queued.Class].add(queued)
	t.size++
}

func (t *team) remove(queued *QueuedRequest) {
	t.queues[queued.Class].remove(queued)
	t.size--
}

// next returns the queue of the class to serve. The team must have waiting
// requests.
func (t *team) next() *classQueue {
	if t.queues[Bulk].Len() > 0 && (!t.hasNonBulk() || t.bulkStartTag < t.nonBulkStartTag) {
		return &t.queues[Bulk]
	}
	if t.queues[Urgent].Len() > 0 {
		return &t.queues[Urgent]
	}
	return &t.queues[Normal]
}

// charge adds served tokens to the start tags.
func (t *team) charge(class Class, tokens, bulkShare float64) {
	t.startTag += tokens / t.weight
	if class == Bulk {
		t.bulkStartTag += tokens / bulkShare
		return
	}
	t.nonBulkStartTag += tokens / (1 - bulkShare)
}

// tokensAhead returns the team's tokens that are served before r, given that bulk
// and the other classes get their guaranteed shares while both wait.
func (t *team) tokensAhead(r *Request, bulkShare float64) float64 {
	nonBulk := t.queues[Urgent].tokens + t.queues[Normal].tokens
	if r.Class == Bulk {
		return tokensServedUntil(t.queues[Bulk].tokensAhead(r), nonBulk, bulkShare)
	}
	ahead := t.queues[r.Class].tokensAhead(r)
	if r.Class == Normal {
		ahead += t.queues[Urgent].tokens
	}
	return tokensServedUntil(ahead, t.queues[Bulk].tokens, 1-bulkShare)
}

// tokensServedUntil returns how many tokens of the team are served in total until
// one side (bulk or the other classes), whose guaranteed share is `share`, has been
// served `own` tokens. `competing` is the number of waiting tokens of the other
// side.
func tokensServedUntil(own, competing, share float64) float64 {
	return own + min(competing, own/share*(1-share))
}
