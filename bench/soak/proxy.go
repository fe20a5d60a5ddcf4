package soak

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// LinkFault is a fault that a proxy injects into its connections.
type LinkFault int

// Faults of a link.
const (
	LinkHealthy LinkFault = iota
	// LinkDelayed delays each chunk of data by linkDelay.
	LinkDelayed
	// LinkStalled forwards nothing in either direction; data sent meanwhile
	// arrives when the fault ends.
	LinkStalled
	// LinkStalledToTarget and LinkStalledToCaller stall one direction only.
	LinkStalledToTarget
	LinkStalledToCaller
	// LinkReset resets all open connections once.
	LinkReset
	// LinkBroken breaks the responses that begin.
	LinkBroken
)

const (
	linkDelay       = 120 * time.Millisecond
	dialTimeout     = time.Second
	copyBufferBytes = 16 << 10
)

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	address string

	mu sync.Mutex
	// ln is nil while the proxy refuses connections.
	ln     net.Listener
	target string
	fault  LinkFault
	// changed is closed and replaced whenever fault changes.
	changed chan struct{}
	conns   map[*net.TCPConn]bool
}

func newProxy(target string) (*proxy, error) {
	// No outgoing connection takes the address while the proxy is closed.
	address, err := standin.FreeAddr()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	p := &proxy{address: address, ln: ln, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go p.accept(ln)
	return p, nil
}

func (p *proxy) addr() string { return p.address }

// close closes all connections and refuses new ones.
func (p *proxy) close() {
	p.mu.Lock()
	if p.ln != nil {
		_ = p.ln.Close()
		p.ln = nil
	}
	p.mu.Unlock()
	p.resetConns()
}

// reopen accepts connections again after close.
func (p *proxy) reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "listen for proxy again")
	}
	p.ln = ln
	go p.accept(ln)
	return nil
}

// setFault begins a fault, or ends it if f is LinkHealthy.
func (p *proxy) setFault(f LinkFault) {
	if f == LinkReset {
		p.resetConns()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// setTarget makes the proxy forward new connections to another address.
func (p *proxy) setTarget(addr string) {
	p.mu.Lock()
	p.target = addr
	p.mu.Unlock()
}

// resetConns closes all connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
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
	wg.Go(func() { p.copyOneWay(server, caller, LinkStalledToTarget) })
	wg.Go(func() { p.copyOneWay(caller, server, LinkStalledToCaller) })
	wg.Wait()
}

// track adds c to the open connections if on is true, else it removes and closes c.
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

// copyOneWay copies data in one direction until either end closes, then closes
// both. stall is the fault that stalls this direction.
func (p *proxy) copyOneWay(to, from *net.TCPConn, stall LinkFault) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitToForward(stall)
			data, reset := buf[:n], false
			if stall == LinkStalledToCaller {
				data, reset = p.toCaller(data)
			}
			if _, werr := to.Write(data); werr != nil {
				err = werr
			}
			if reset {
				err = errBroken
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

// errBroken ends the connection of a response that was broken off.
var errBroken = errors.New("response broken off")

// toCaller returns what the caller gets instead of data, and whether the connection is reset after it.
func (p *proxy) toCaller(data []byte) (broken []byte, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != LinkBroken || !bytes.HasPrefix(data, responseStart) {
		return data, false
	}
	return breakResponse(data, int(xxhash.Sum64(data)%breakWays))
}

// waitToForward blocks until a chunk may be forwarded in the direction that the
// fault stall blocks.
func (p *proxy) waitToForward(stall LinkFault) {
	for {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		switch {
		case f == LinkDelayed:
			time.Sleep(linkDelay)
			return
		case f == LinkStalled || f == stall:
			<-changed
		default:
			return
		}
	}
}
