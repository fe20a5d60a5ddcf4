package operator

import (
	"context"
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// SetDataCentreState takes a data centre out of service or returns it to
// service. It publishes nothing if the data centre is already in that state.
func (p *Publisher) SetDataCentreState(ctx context.Context, id string, state config.DataCentreState, reason, author string) (Publication, error) {
	return p.Update(ctx, reason, author, func(doc config.Document) ([]record.EntryChange, error) {
		dc, ok := doc.DataCentres[id]
		if !ok {
			return nil, errkind.New(errkind.InvalidRequest, fmt.Sprintf("there is no data centre %q", id))
		}
		if dc.WithDefaults().State == state {
			return nil, nil
		}
		dc.State = state
		change, err := putChange(record.SectionDataCentres, id, dc)
		return []record.EntryChange{change}, err
	})
}
