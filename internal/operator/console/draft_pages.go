package console

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

func (c *Console) showDraft(_ context.Context, rc *app.RequestContext, s *session) {
	c.draftPage(rc, s, http.StatusOK, "")
}

func (c *Console) draftPage(rc *app.RequestContext, s *session, status int, message string) {
	p := c.page(s, "Review and publish")
	p.Message = message
	doc := c.publisher.View().Document()
	d, _ := s.currentDraft()
	p.Rows = changeRows(doc, d.changes)
	_, p.Problems = d.apply(doc)
	if p.Conflict != nil {
		p.Theirs = changeRows(config.Document{}, p.Conflict.Difference)
	}
	c.render(rc, status, "draft", p)
}

// changeRows returns a row for each change, with the entry of doc that it replaces.
func changeRows(doc config.Document, changes []record.EntryChange) []changeRow {
	var out []changeRow
	for _, change := range changes {
		out = append(out, changeRow{
			Name:   string(change.Section) + "/" + change.ID,
			Before: string(config.EntryValue(doc, change.Section, change.ID)),
			After:  string(change.Value),
		})
	}
	return out
}

func (c *Console) publishDraft(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	d, _ := s.currentDraft()
	_, err := c.publisher.Publish(ctx, d.base, d.changes, formValue(rc, "reason"), s.author)
	var conflict *operator.Conflict
	var problems config.Problems
	switch {
	case err == nil:
		s.setDraft(draft{}, nil)
		redirect(rc, "")
	case errors.As(err, &conflict):
		s.setDraft(d, conflict)
		c.draftPage(rc, s, http.StatusConflict, conflict.Error())
	case errors.As(err, &problems):
		c.draftPage(rc, s, http.StatusUnprocessableEntity, "The configuration has errors; nothing was published.")
	default:
		c.draftPage(rc, s, errkind.ResponseFor(errkind.From(err).Kind).Status, err.Error())
	}
}

// rebaseDraft sets the draft's base to the version of the conflict that the
// operator was shown. If a newer version has been published since, the next
// publication conflicts again.
func (c *Console) rebaseDraft(_ context.Context, rc *app.RequestContext, s *session) {
	d, conflict := s.currentDraft()
	if conflict != nil {
		s.setDraft(draft{base: conflict.Version, changes: d.changes}, nil)
	}
	redirect(rc, "/draft")
}

func (c *Console) discardDraft(_ context.Context, rc *app.RequestContext, s *session) {
	s.setDraft(draft{}, nil)
	redirect(rc, "")
}
