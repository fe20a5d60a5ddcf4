package relay

import "sync"

// notifier wakes every goroutine that waits for a change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func newNotifier() *notifier { return &notifier{ch: make(chan struct{})} }

// channel returns a channel that the next broadcast closes. Callers get the
// channel before they read the state, so that they miss no change.
func (n *notifier) channel() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

func (n *notifier) broadcast() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}
