package operator

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// maxUpdateAttempts bounds the attempts of Update. At 4,100 changes a day even
// two conflicts in a row are rare.
const maxUpdateAttempts = 16

// Update publishes the changes that buildChanges returns for the current document.
// After a conflict it calls buildChanges again with the new document. Use it only
// for changes that are correct whatever else has changed, such as withdrawing a key.
func (p *Publisher) Update(ctx context.Context, reason, author string, buildChanges func(config.Document) ([]record.EntryChange, error)) (Publication, error) {
	var err error
	for range maxUpdateAttempts {
		view := p.stream.View()
		changes, buildErr := buildChanges(view.Document())
		if buildErr != nil {
			return Publication{}, buildErr
		}
		var publication Publication
		publication, err = p.Publish(ctx, view.ConfigVersion, changes, reason, author)
		if !errkind.Is(err, errkind.ConfigConflict) {
			return publication, err
		}
	}
	return Publication{}, err
}
