package atmostonce

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// WriterClient sends requests to the Writer of an entry instance, which may be
// the sender itself. If a method returns an error, the record may still have been
// appended to the log.
type WriterClient interface {
	Intent(ctx context.Context, to controlstate.Member, req IntentRequest) (StateResponse, error)
	Result(ctx context.Context, to controlstate.Member, req ResultRequest) (StateResponse, error)
	Status(ctx context.Context, to controlstate.Member, req StatusRequest) (StateResponse, error)
}
