package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkFault is what a proxy does to its connections.
type LinkFault int

// Faults of a link.
const (
	LinkHealthy LinkFault = iota
	// LinkDelayed holds every piece back for linkDelay.
	LinkDelayed
	// LinkSilent lets nothing through; what was sent arrives when it heals.
	LinkSilent
	// LinkCutThere and LinkCutBack do so one way.
	LinkCutThere
	LinkCutBack
	// LinkReset resets all connections once.
	LinkReset
)

const (
	linkDelay   = 120 * time.Millisecond
	dialTimeout = time.Second
	pieceBytes  = 16 << 10
)

// proxy passes connections on to a target.
type proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	fault  LinkFault
	// changed is closed with each new fault.
	changed chan struct{}
	conns   map[*net.TCPConn]bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

// set begins a fault, or ends it with LinkHealthy.
func (p *proxy) set(f LinkFault) {
	if f == LinkReset {
		p.reset()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// retarget passes new connections on to another address.
func (p *proxy) retarget(addr string) {
	p.mu.Lock()
	p.target = addr
	p.mu.Unlock()
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(caller *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	p.track(caller, true)
	defer p.track(caller, false)
	c, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := c.(*net.TCPConn)
	p.track(server, true)
	defer p.track(server, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(server, caller, LinkCutThere) })
	wg.Go(func() { p.pump(caller, server, LinkCutBack) })
	wg.Wait()
}

func (p *proxy) track(c *net.TCPConn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	_ = c.Close()
}

// pump copies one way until either end closes, which closes both.
func (p *proxy) pump(to, from *net.TCPConn, cut LinkFault) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.wait(cut)
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			_ = to.SetLinger(0)
		}
		_ = to.Close()
		_ = from.Close()
		return
	}
}

// wait returns when a piece may go on in a direction.
func (p *proxy) wait(cut LinkFault) {
	for {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		switch {
		case f == LinkDelayed:
			time.Sleep(linkDelay)
			return
		case f == LinkSilent || f == cut:
			<-changed
		default:
			return
		}
	}
}
