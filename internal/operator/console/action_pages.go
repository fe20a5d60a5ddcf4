package console

import (
	"context"
	"net/http"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

// historyEntries is the number of newest changes that the history page shows.
const historyEntries = 100

// issueKey publishes at once, because the secret is shown only in this answer.
func (c *Console) issueKey(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	key, err := c.publisher.IssueKey(ctx, form(rc, "team"), form(rc, "note"), s.author)
	if err != nil {
		c.fail(rc, s, err)
		return
	}
	p := c.page(s, "New key")
	p.Key = &key
	c.render(rc, http.StatusOK, "key", p)
}

// withdrawKey publishes at once, because a leaked key must stop working.
func (c *Console) withdrawKey(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	if _, err := c.publisher.WithdrawKey(ctx, form(rc, "entry_id"), form(rc, "reason"), s.author); err != nil {
		c.fail(rc, s, err)
		return
	}
	redirect(rc, "/section/keys")
}

// setDataCentre publishes at once, because a data centre leaves at short notice.
func (c *Console) setDataCentre(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	state := config.DataCentreState(form(rc, "state"))
	if _, err := c.publisher.SetDataCentreState(ctx, form(rc, "entry_id"), state, form(rc, "reason"), s.author); err != nil {
		c.fail(rc, s, err)
		return
	}
	redirect(rc, "/section/data_centres")
}

func (c *Console) showHistory(_ context.Context, rc *app.RequestContext, s *session) {
	p := c.page(s, "History")
	if c.history != nil {
		p.Entries, _ = c.history.Since(0)
		slices.Reverse(p.Entries)
		p.Entries = p.Entries[:min(len(p.Entries), historyEntries)]
	}
	c.render(rc, http.StatusOK, "history", p)
}
