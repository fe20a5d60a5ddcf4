package upstream

import "github.com/jacinthbend/jacinthbend/internal/fleet"

// answer tells that the upstream id answered at an address in place of another one.
type answer struct{ id, inPlaceOf string }

// currentAt returns the id of the upstream at an address: the one that started last, unless a
// listed one has answered there in its place. Another writer may have written the entry of the
// former.
func (p *Pool) currentAt(addr string) string {
	newest := p.newestByAddr[addr]
	if a, ok := p.answers[addr]; ok && a.inPlaceOf == newest {
		return a.id
	}
	return newest
}

// AnsweredBy records which upstream has answered at the address of the ticket's.
func (t *Ticket) AnsweredBy(a fleet.ResponseAttributes) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, expected := t.state.upstream.Addr, t.state.upstream.ID
	u := p.view.Upstreams[a.Instance]
	if a.Instance == expected || u == nil || u.Addr != addr || p.newestByAddr[addr] != expected {
		return
	}
	p.answers[addr] = answer{id: a.Instance, inPlaceOf: expected}
}

// dropOldAnswers forgets answers that no longer decide which upstream is at an address.
func (p *Pool) dropOldAnswers() {
	for addr, a := range p.answers {
		u := p.view.Upstreams[a.id]
		if u == nil || u.Addr != addr || p.newestByAddr[addr] != a.inPlaceOf {
			delete(p.answers, addr)
		}
	}
}
