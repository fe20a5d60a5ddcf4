package console

import (
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/operator"
)

// session is one signed-in operator.
type session struct {
	id      string
	author  string
	csrf    string
	expires time.Time

	mu    sync.Mutex
	draft draft
	// conflict is the conflict that stopped the last publication. It is nil again
	// once the draft has been rebased, published or discarded.
	conflict *operator.Conflict
}

func (s *session) currentDraft() (draft, *operator.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draft, s.conflict
}

func (s *session) setDraft(d draft, c *operator.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draft = d
	s.conflict = c
}
