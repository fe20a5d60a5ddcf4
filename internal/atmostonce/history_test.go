package atmostonce_test

import (
	"fmt"
	"sync"
)

// event is one entry of the history: a call sent, an attempt dispatched for it,
// an execution at the service, or an answer to the caller.
type event struct {
	kind                  string
	call                  int
	callID, body, attempt string
	status                int
	ran                   string
}

type history struct {
	mu     sync.Mutex
	events []event
}

func (h *history) add(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// violations checks the history independently of the code under test: at most
// one execution per call id (H12), no execution of a call answered "not run"
// (H11), and each answer belongs to the id and body of its call (H10).
func (h *history) violations() []string {
	var out []string
	executions := map[string]int{}
	executed := map[string]bool{}
	dispatched := map[int][]string{}
	calls := map[int]event{}
	served := map[string]bool{}
	for _, e := range h.events {
		switch e.kind {
		case "call":
			calls[e.call] = e
		case "dispatch":
			dispatched[e.call] = append(dispatched[e.call], e.attempt)
		case "execute":
			executions[e.callID]++
			executed[e.attempt] = true
			served[answerTo(e.callID, e.body)] = true
		}
	}
	for id, n := range executions {
		if n > 1 {
			out = append(out, fmt.Sprintf("H12: %s executed %d times", id, n))
		}
	}
	for _, e := range h.events {
		if e.kind != "answer" {
			continue
		}
		c := calls[e.call]
		if e.status == 200 && (e.body != answerTo(c.callID, c.body) || !served[e.body]) {
			out = append(out, fmt.Sprintf("H10: call %d got %q", e.call, e.body))
		}
		for _, a := range dispatched[e.call] {
			if e.ran == "no" && executed[a] {
				out = append(out, fmt.Sprintf("H11: call %d was answered not run, but attempt %s ran", e.call, a))
			}
		}
	}
	return out
}

func (h *history) count(kind string) int {
	n := 0
	for _, e := range h.events {
		if e.kind == kind && (kind != "answer" || e.status == 200) {
			n++
		}
	}
	return n
}

func answerTo(callID, body string) string { return "done " + callID + " " + body }
