package atmostonce

import (
	"io"
	"sync"
	"time"
)

// idGenerator generates ids from the given random source. It is safe for
// concurrent use.
type idGenerator struct {
	mu     sync.Mutex
	random io.Reader
}

// next returns a new id, or "" if the random source fails, which does not
// happen in practice. A client refuses a call that would get an empty attempt
// id.
func (i *idGenerator) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	id, err := NewID(time.Now(), i.random)
	if err != nil {
		return ""
	}
	return id
}
