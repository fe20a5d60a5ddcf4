package console

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

//go:embed assets
var assets embed.FS

// page is what the templates show; each uses a part of it.
type page struct {
	Title   string
	Author  string
	CSRF    string
	Message string
	// Version is the one in force, or the one that a form shown again was made
	// from.
	Version platform.Offset

	Sections   []sectionSummary
	Section    record.Section
	Help       string
	ID         string
	New        bool
	IDs        []string
	Fields     []entryField
	IDProblems config.Problems
	Problems   config.Problems

	Base     platform.Offset
	Drafted  int
	Rows     []changeRow
	Conflict *operator.Conflict
	Theirs   []changeRow
	Key      *operator.IssuedKey
	Entries  []audit.Entry
}

var pageNames = []string{"login", "overview", "section", "entry", "draft", "key", "history", "error"}

func parsePages() pages {
	out := make(pages)
	for _, name := range pageNames {
		out[name] = template.Must(template.ParseFS(assets, "assets/layout.html", "assets/"+name+".html"))
	}
	return out
}

// page returns the parts that every signed-in page has.
func (c *Console) page(s *session, title string) page {
	d, conflict := s.currentDraft()
	return page{
		Title: title, Author: s.author, CSRF: s.csrf, Version: c.publisher.View().ConfigVersion,
		Base: d.base, Drafted: len(d.changes), Conflict: conflict,
	}
}

func (c *Console) render(rc *app.RequestContext, status int, name string, p page) {
	var out bytes.Buffer
	secure(rc)
	if err := c.pages[name].ExecuteTemplate(&out, "layout", p); err != nil {
		rc.Data(http.StatusInternalServerError, "text/plain; charset=utf-8", []byte("the page could not be made"))
		return
	}
	rc.Data(status, "text/html; charset=utf-8", out.Bytes())
}

// secure sets the headers that keep a page from running scripts, being framed
// and being stored.
func secure(rc *app.RequestContext) {
	rc.Header("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	rc.Header("X-Content-Type-Options", "nosniff")
	rc.Header("Referrer-Policy", "no-referrer")
	rc.Header("Cache-Control", "no-store")
}

func (c *Console) fail(rc *app.RequestContext, s *session, err error) {
	c.failWith(rc, s, errkind.ResponseFor(errkind.From(err).Kind).Status, err)
}

// failWith answers with the error page. Every error of the publish functions
// says whether the change may have taken effect.
func (c *Console) failWith(rc *app.RequestContext, s *session, status int, err error) {
	p := page{Title: "Error"}
	if s != nil {
		p = c.page(s, "Error")
	}
	p.Message = err.Error()
	errors.As(err, &p.Problems)
	if len(p.Problems) > 0 {
		p.Message = "The configuration has errors; nothing was published."
	}
	c.render(rc, status, "error", p)
}

func (c *Console) style(_ context.Context, rc *app.RequestContext) {
	data, err := assets.ReadFile("assets/style.css")
	if err != nil {
		rc.AbortWithStatus(http.StatusNotFound)
		return
	}
	secure(rc)
	rc.Data(http.StatusOK, "text/css; charset=utf-8", data)
}
