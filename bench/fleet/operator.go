package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing/httpapi"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/snapshot"
)

// Operator publishes configuration changes to the fleet like the operator's command
// line.
type Operator struct {
	*operator.Publisher
	Stream *operator.StreamClient
}

// NewOperator returns an operator of the fleet.
func (f *Fleet) NewOperator() (*Operator, error) {
	log, err := httpapi.NewLog(f.Platform.Addr(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := operator.NewStreamClient(log, operator.ClientSettings{Name: "test-operator", LoadSnapshot: snapshot.Newest})
	return &Operator{Publisher: operator.NewPublisher(c, c), Stream: c}, nil
}

// PublishDocument publishes the changes that turn the current document into d.
func (o *Operator) PublishDocument(ctx context.Context, d config.Document, reason string) (operator.Publication, error) {
	if err := o.Stream.Refresh(ctx); err != nil {
		return operator.Publication{}, err
	}
	changes := config.Diff(o.View().Document(), d)
	return o.Publish(ctx, o.View().ConfigVersion, changes, reason, "test-operator")
}

// HashKey returns the hex SHA-256 digest under which a key's secret is stored.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
