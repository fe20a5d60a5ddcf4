package once

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fold"
)

// WriterClient reaches the partition writer of an entry instance, the own one
// included. After an error that carries no error kind the request may have
// taken effect.
type WriterClient interface {
	Intent(ctx context.Context, to fold.Member, req IntentRequest) (StateResponse, error)
	Result(ctx context.Context, to fold.Member, req ResultRequest) (StateResponse, error)
	Status(ctx context.Context, to fold.Member, req StatusRequest) (StateResponse, error)
}
