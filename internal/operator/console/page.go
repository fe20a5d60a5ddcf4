package console

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/pkg/errors"
)

//go:embed assets
var assets embed.FS

// page is the data of the templates. Each template uses some of the fields.
type page struct {
	Title   string
	Author  string
	CSRF    string
	Message string
	// Version is the current version. In a form that is shown again it is the
	// version from which the form was first rendered.
	Version backing.Offset

	Sections   []sectionSummary
	Section    record.Section
	Help       string
	ID         string
	New        bool
	IDs        []string
	Fields     []entryField
	IDProblems config.Problems
	Problems   config.Problems

	// Base, DraftChanges, Rows and Conflict describe the session's draft: its
	// base version, its number of changes, the changes, and the conflict that
	// stopped its publication. Theirs lists the changes of other operators since
	// Base.
	Base         backing.Offset
	DraftChanges int
	Rows         []changeRow
	Conflict     *operator.Conflict
	Theirs       []changeRow
	Key          *operator.IssuedKey
	Entries      []audit.Entry
}

var pageNames = []string{"login", "overview", "section", "entry", "draft", "key", "history", "error"}

func parsePages() pages {
	out := make(pages)
	for _, name := range pageNames {
		out[name] = template.Must(template.ParseFS(assets, "assets/layout.html", "assets/"+name+".html"))
	}
	return out
}

// page returns the data that every page of a signed-in operator needs.
func (c *Console) page(s *session, title string) page {
	d, conflict := s.currentDraft()
	return page{
		Title: title, Author: s.author, CSRF: s.csrf, Version: c.publisher.View().ConfigVersion,
		Base: d.base, DraftChanges: len(d.changes), Conflict: conflict,
	}
}

func (c *Console) render(rc *app.RequestContext, status int, name string, p page) {
	var out bytes.Buffer
	setSecurityHeaders(rc)
	if err := c.pages[name].ExecuteTemplate(&out, "layout", p); err != nil {
		rc.Data(http.StatusInternalServerError, "text/plain; charset=utf-8", []byte("the page could not be rendered"))
		return
	}
	rc.Data(status, "text/html; charset=utf-8", out.Bytes())
}

// setSecurityHeaders sets the headers that forbid the browser to run scripts in the
// page, to show it in a frame of another page, and to store it.
func setSecurityHeaders(rc *app.RequestContext) {
	rc.Header("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	rc.Header("X-Content-Type-Options", "nosniff")
	rc.Header("Referrer-Policy", "no-referrer")
	rc.Header("Cache-Control", "no-store")
}

func (c *Console) fail(rc *app.RequestContext, s *session, err error) {
	c.failWith(rc, s, errkind.ResponseFor(errkind.From(err).Kind).Status, err)
}

// failWith responds with the error page. It shows the error's own message, because
// that says whether a change may have taken effect.
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

func (c *Console) serveStyle(_ context.Context, rc *app.RequestContext) {
	data, err := assets.ReadFile("assets/style.css")
	if err != nil {
		rc.AbortWithStatus(http.StatusNotFound)
		return
	}
	setSecurityHeaders(rc)
	rc.Data(http.StatusOK, "text/css; charset=utf-8", data)
}
