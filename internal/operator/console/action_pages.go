package console

import (
	"context"
	"net/http"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

// historyEntries is the maximum number of changes on the history page, newest
// first.
const historyEntries = 100

// issueKey publishes at once instead of adding to the draft, because the secret is
// shown only in this response.
func (c *Console) issueKey(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	key, err := c.publisher.IssueKey(ctx, formValue(rc, "team"), formValue(rc, "note"), s.author)
	if err != nil {
		c.fail(rc, s, err)
		return
	}
	p := c.page(s, "New key")
	p.Key = &key
	c.render(rc, http.StatusOK, "key", p)
}

// withdrawKey publishes at once instead of adding to the draft, so that a leaked
// key stops working without delay.
func (c *Console) withdrawKey(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	if _, err := c.publisher.WithdrawKey(ctx, formValue(rc, "entry_id"), formValue(rc, "reason"), s.author); err != nil {
		c.fail(rc, s, err)
		return
	}
	redirect(rc, "/section/keys")
}

// setDataCentre publishes at once instead of adding to the draft, because a data
// centre may have to be taken out at short notice.
func (c *Console) setDataCentre(ctx context.Context, rc *app.RequestContext, s *session) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	state := config.DataCentreState(formValue(rc, "state"))
	if _, err := c.publisher.SetDataCentreState(ctx, formValue(rc, "entry_id"), state, formValue(rc, "reason"), s.author); err != nil {
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
