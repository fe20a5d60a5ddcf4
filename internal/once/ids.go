package once

import (
	"io"
	"sync"
	"time"
)

// idGenerator draws idGenerator from an injected source of randomness. It is safe for
// concurrent use.
type idGenerator struct {
	mu     sync.Mutex
	random io.Reader
}

// next returns a new id. Sources of randomness do not fail; if one does, the id
// is empty and the request that needs it is refused.
func (i *idGenerator) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	id, err := NewID(time.Now(), i.random)
	if err != nil {
		return ""
	}
	return id
}
