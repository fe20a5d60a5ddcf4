// Package console is the operators' web console. It has forms for every section of
// the configuration document, for keys and for data centres, and shows the history
// of changes. It publishes with package operator, as the command line does. Its
// pages contain no scripts.
package console

import (
	"cmp"
	"context"
	"crypto/rand"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/jacinthbend/jacinthbend/internal/operator"
)

// Prefix is the path prefix of all console pages.
const Prefix = "/console"

// Console serves the console pages. It is safe for concurrent use.
type Console struct {
	publisher *operator.Publisher
	history   operator.History
	settings  Settings
	sessions  *sessions
	pages     pages
}

// New returns a console. If history is nil, the history page is empty.
func New(publisher *operator.Publisher, history operator.History, settings Settings) *Console {
	settings.SessionTTL = cmp.Or(settings.SessionTTL, 8*time.Hour)
	settings.PublishTimeout = cmp.Or(settings.PublishTimeout, 10*time.Second)
	if settings.Random == nil {
		settings.Random = rand.Reader
	}
	return &Console{
		publisher: publisher,
		history:   history,
		settings:  settings,
		sessions:  newSessions(settings),
		pages:     parsePages(),
	}
}

// Register adds the console's routes under Prefix.
func (c *Console) Register(r route.IRoutes) {
	r.GET(Prefix+"/style.css", c.serveStyle)
	r.GET(Prefix+"/login", c.showLogin)
	r.POST(Prefix+"/login", c.login)
	c.get(r, "", c.showOverview)
	c.post(r, "/logout", c.logout)
	c.get(r, "/section/:section", c.showSection)
	c.get(r, "/entry/:section", c.showEntry)
	c.post(r, "/entry/:section", c.saveEntry)
	c.post(r, "/delete/:section", c.deleteEntry)
	c.get(r, "/draft", c.showDraft)
	c.post(r, "/draft/publish", c.publishDraft)
	c.post(r, "/draft/rebase", c.rebaseDraft)
	c.post(r, "/draft/discard", c.discardDraft)
	c.post(r, "/keys/issue", c.issueKey)
	c.post(r, "/keys/withdraw", c.withdrawKey)
	c.post(r, "/datacentres/set", c.setDataCentre)
	c.get(r, "/history", c.showHistory)
}

// handler handles a request of a signed-in operator.
type handler func(ctx context.Context, rc *app.RequestContext, s *session)

// get registers a handler that requires a session.
func (c *Console) get(r route.IRoutes, path string, h handler) {
	r.GET(Prefix+path, func(ctx context.Context, rc *app.RequestContext) {
		s := c.session(rc)
		if s == nil {
			redirect(rc, "/login")
			return
		}
		h(ctx, rc, s)
	})
}

// post registers a handler that requires a session and its CSRF token.
func (c *Console) post(r route.IRoutes, path string, h handler) {
	r.POST(Prefix+path, func(ctx context.Context, rc *app.RequestContext) {
		s := c.session(rc)
		if s == nil {
			redirect(rc, "/login")
			return
		}
		if !equalSecrets(formValue(rc, csrfField), s.csrf) {
			c.rejectCSRF(rc, s)
			return
		}
		h(ctx, rc, s)
	})
}
