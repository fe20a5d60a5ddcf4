package upstream

import "math"

// idleConnShare is the part of the connections that an upstream accepts which idle ones may
// use. It resets connections beyond that, those of running requests among them.
const idleConnShare = 0.5

// IdleLimit returns how many idle connections to an address this instance may keep. The
// connections that an upstream accepts are one budget of all instances, which they share in
// equal parts.
func (p *Pool) IdleLimit(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return math.MaxInt
	}
	u, ok := p.view.Upstreams[p.currentAt(addr)]
	if !ok {
		return math.MaxInt
	}
	conns := p.view.Config.Services[u.Service].MaxConns
	if conns <= 0 {
		return math.MaxInt
	}
	return int(idleConnShare * float64(conns) / float64(max(1, p.entryCount)))
}
