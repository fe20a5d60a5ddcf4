package console

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/operator"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

const operatorToken = "operator-token"

// browser is a test client that keeps cookies and the hidden form fields of the
// last page.
type browser struct {
	t       *testing.T
	engine  *route.Engine
	cookies map[string]string
	csrf    string
	base    string
	status  int
	body    string
	header  http.Header
}

func newBrowser(t *testing.T, engine *route.Engine) *browser {
	return &browser{t: t, engine: engine, cookies: make(map[string]string)}
}

// newTestConsole returns an engine with a console, and the console's publisher.
func newTestConsole(t *testing.T) (*route.Engine, *operator.Publisher) {
	client := operator.NewStreamClient(standin.NewLog(), operator.ClientSettings{Name: "entry-1"})
	is.New(t).NoErr(client.Refresh(t.Context()))
	publisher := operator.NewPublisher(client, client)
	hlog.SetLevel(hlog.LevelWarn)
	engine := route.NewEngine(config.NewOptions(nil))
	New(publisher, client, Settings{Token: operatorToken}).Register(engine)
	return engine, publisher
}

var (
	csrfPattern   = regexp.MustCompile(`name="csrf" value="([^"]*)"`)
	basePattern   = regexp.MustCompile(`name="base" value="([^"]*)"`)
	cookiePattern = regexp.MustCompile(`^([^=]+)=([^;]*)`)
)

func (b *browser) send(method, path string, fields url.Values) {
	headers := []ut.Header{{Key: "Content-Type", Value: "application/x-www-form-urlencoded"}}
	for name, value := range b.cookies {
		headers = append(headers, ut.Header{Key: "Cookie", Value: name + "=" + value})
	}
	encoded := fields.Encode()
	w := ut.PerformRequest(b.engine, method, Prefix+path, &ut.Body{Body: strings.NewReader(encoded), Len: len(encoded)}, headers...)
	resp := w.Result()
	b.status = resp.StatusCode()
	b.body = string(resp.Body())
	b.header = make(http.Header)
	resp.Header.VisitAll(func(k, v []byte) { b.header.Add(string(k), string(v)) })
	for _, set := range b.header.Values("Set-Cookie") {
		m := cookiePattern.FindStringSubmatch(set)
		b.cookies[m[1]] = m[2]
		if strings.Contains(set, "expires=Tue, 10 Nov 2009") {
			delete(b.cookies, m[1])
		}
		is.New(b.t).True(strings.Contains(set, "HttpOnly") && strings.Contains(set, "SameSite=Strict"))
	}
	for pattern, field := range map[*regexp.Regexp]*string{csrfPattern: &b.csrf, basePattern: &b.base} {
		if m := pattern.FindStringSubmatch(b.body); m != nil {
			*field = m[1]
		}
	}
}

func (b *browser) get(path string) { b.send(http.MethodGet, path, nil) }

// post sends the fields, given as alternating names and values, with the hidden
// fields of the last page.
func (b *browser) post(path string, fields ...string) {
	values := url.Values{"csrf": {b.csrf}, "base": {b.base}}
	for i := 0; i < len(fields); i += 2 {
		values.Set(fields[i], fields[i+1])
	}
	b.send(http.MethodPost, path, values)
}

func (b *browser) signIn(author string) {
	b.get("/login")
	b.post("/login", "author", author, "token", operatorToken)
	is.New(b.t).Equal(b.status, http.StatusSeeOther)
	b.get("")
}

// expect checks the status of the last response and that its body contains parts.
func (b *browser) expect(status int, parts ...string) {
	b.t.Helper()
	is := is.New(b.t)
	is.Equal(b.status, status)
	for _, part := range parts {
		if !strings.Contains(b.body, part) {
			b.t.Errorf("the page lacks %q:\n%s", part, b.body)
		}
	}
}

var pagePaths = []string{"", "/section/teams", "/section/keys", "/entry/teams", "/entry/limits?id=limits", "/draft", "/history"}

// formPaths are the paths of every form except the sign-in form.
var formPaths = []string{
	"/logout", "/entry/teams", "/delete/teams", "/draft/publish", "/draft/rebase", "/draft/discard",
	"/keys/issue", "/keys/withdraw", "/datacentres/set",
}

// TestAccess checks that the console rejects callers without the operator token and
// forms posted by other sites.
func TestAccess(t *testing.T) {
	is := is.New(t)
	engine, publisher := newTestConsole(t)
	b := newBrowser(t, engine)
	for _, path := range pagePaths {
		b.get(path)
		b.expect(http.StatusSeeOther)
	}
	for _, path := range formPaths {
		b.post(path, "team", "t")
		b.expect(http.StatusSeeOther)
	}
	b.post("/login", "author", "ann", "token", operatorToken)
	b.expect(http.StatusForbidden) // no CSRF cookie
	b.post("/login", "author", "ann", "token", "wrong")
	b.expect(http.StatusUnauthorized, "token is wrong")
	b.post("/login", "author", "", "token", operatorToken)
	b.expect(http.StatusUnprocessableEntity)
	b.signIn("ann")
	for _, path := range formPaths {
		b.csrf = "forged"
		b.post(path, "team", "t")
		b.expect(http.StatusForbidden)
	}
	b.get("/style.css")
	b.expect(http.StatusOK)
	for _, path := range pagePaths {
		b.get(path)
		b.expect(http.StatusOK)
		is.True(!strings.Contains(strings.ToLower(b.body), "<script"))
		is.True(!strings.Contains(b.body, operatorToken))
		is.True(strings.HasPrefix(b.header.Get("Content-Security-Policy"), "default-src 'none'"))
		is.Equal(b.header.Get("Cache-Control"), "no-store")
	}
	b.get("/section/none")
	b.expect(http.StatusNotFound)
	b.get("/entry/teams?id=none")
	b.expect(http.StatusNotFound)
	is.Equal(publisher.View().Offset, backing.Offset(0)) // a rejected form published something
	for range loginBurst {
		b.get("/login")
		b.post("/login", "author", "ann", "token", "wrong")
	}
	b.expect(http.StatusTooManyRequests) // failed sign-ins were not limited
	delete(b.cookies, loginCookie)
	b.signOut()
	disabled := route.NewEngine(config.NewOptions(nil))
	New(publisher, nil, Settings{}).Register(disabled)
	b = newBrowser(t, disabled)
	b.get("/login")
	b.post("/login", "author", "ann", "token", "")
	b.expect(http.StatusUnauthorized) // an unset token must not allow sign-in
	expired := route.NewEngine(config.NewOptions(nil))
	New(publisher, nil, Settings{Token: operatorToken, SessionTTL: -time.Second}).Register(expired)
	b = newBrowser(t, expired)
	b.signIn("ann")
	b.expect(http.StatusSeeOther) // a session outlived its TTL
}

func (b *browser) signOut() {
	b.get("")
	id := b.cookies[sessionCookie]
	b.post("/logout")
	is.New(b.t).Equal(len(b.cookies), 0) // a cookie outlived the session
	b.cookies[sessionCookie] = id        // a copied cookie must not work either
	b.get("")
	b.expect(http.StatusSeeOther)
}

// TestPublish checks publishing with the forms: errors beside their fields, the
// list of changes, a conflict with another operator, keys and data centres.
func TestPublish(t *testing.T) {
	is := is.New(t)
	engine, publisher := newTestConsole(t)
	ann, bob := newBrowser(t, engine), newBrowser(t, engine)
	ann.signIn("ann")
	bob.signIn("bob")
	ann.get("/entry/teams")
	ann.post("/entry/teams", "entry_id", "Bad Id", "field_rate_tokens_per_s", "fast", "field_burst_tokens", "2")
	ann.expect(http.StatusUnprocessableEntity, `value="fast"`, "$.teams[&#39;Bad Id&#39;].rate_tokens_per_s", "must be of type number")
	ann.post("/entry/teams", "entry_id", "t", "field_rate_tokens_per_s", "9", "field_burst_tokens", "2")
	ann.expect(http.StatusUnprocessableEntity, "$.teams.t.burst_tokens", "must be at least 9")
	ann.post("/entry/teams", "entry_id", "t", "field_rate_tokens_per_s", "2", "field_burst_tokens", "2")
	ann.expect(http.StatusSeeOther)
	ann.post("/entry/data_centres", "entry_id", "dc", "field_region", "r")
	bob.get("/entry/teams")
	ann.get("/draft")
	ann.expect(http.StatusOK, "teams/t", "data_centres/dc", "&#34;burst_tokens&#34;:2")
	ann.post("/draft/publish", "reason", "first team")
	ann.expect(http.StatusSeeOther)
	is.Equal(publisher.View().Teams.Len(), 1)

	// Bob's form was rendered before Ann published.
	bob.post("/entry/teams", "entry_id", "t", "field_rate_tokens_per_s", "1", "field_burst_tokens", "1")
	bob.post("/draft/publish")
	bob.expect(http.StatusConflict, "ann published version 1 first: first team", "Your draft also changes teams/t")
	bob.post("/draft/rebase")
	// Saving a form that was rendered before the rebase sets the draft's base back
	// to the version of that form.
	bob.post("/entry/teams", "entry_id", "t", "field_rate_tokens_per_s", "1", "field_burst_tokens", "1")
	bob.post("/draft/publish")
	bob.expect(http.StatusConflict)
	bob.post("/draft/rebase")
	bob.get("/draft")
	bob.expect(http.StatusOK, "&#34;burst_tokens&#34;:1", "Your changes to version 1")
	bob.post("/draft/publish")
	bob.expect(http.StatusSeeOther)

	ann.get("/section/keys")
	ann.post("/keys/issue", "team", "none")
	ann.expect(http.StatusUnprocessableEntity, "there is no such team")
	ann.post("/keys/issue", "team", "t", "note", "<b>desk</b>")
	ann.expect(http.StatusOK, "jbk_", "not shown again")
	id := publisher.ListKeys("t")[0].ID
	ann.get(pagePaths[2])
	ann.expect(http.StatusOK, id)
	is.True(!strings.Contains(ann.body, "jbk_")) // the secret was shown again
	ann.post("/keys/withdraw", "entry_id", id, "reason", "lost")
	is.Equal(len(publisher.ListKeys("")), 0)
	ann.post("/datacentres/set", "entry_id", "dc", "state", "out")
	dc, _ := publisher.View().DataCentres.Get("dc")
	is.True(!dc.In())

	// Lists, flags and a deletion with a dangling reference.
	ann.get("/entry/pools")
	ann.post("/entry/pools", "entry_id", "svc", "field_kind", "service")
	ann.post("/entry/routes", "entry_id", "r", "field_pool", "svc", "field_repeatable", "true", "field_methods", "GET, POST", "field_teams", "t")
	ann.get("/entry/routes?id=r")
	ann.expect(http.StatusOK, `value="GET, POST"`, "checked")
	ann.post("/delete/teams", "entry_id", "t")
	ann.get("/draft")
	ann.expect(http.StatusOK, "deleted", "$.routes.r.teams[0]")
	ann.post("/draft/publish")
	ann.expect(http.StatusUnprocessableEntity, "nothing was published")
	ann.post("/draft/discard")
	ann.get("/draft")
	ann.expect(http.StatusOK, "The draft is empty")
	ann.get("/history")
	ann.expect(http.StatusOK, "first team", "lost", "delete keys/"+id, "bob")
}

// TestRandomSourceFailure checks that there is no sign-in form when the random
// source fails, because session ids would then be predictable.
func TestRandomSourceFailure(t *testing.T) {
	c := New(nil, nil, Settings{Token: operatorToken, Random: io.LimitReader(bytes.NewReader(nil), 0)})
	engine := route.NewEngine(config.NewOptions(nil))
	c.Register(engine)
	b := newBrowser(t, engine)
	b.get("/login")
	b.expect(http.StatusInternalServerError)
}
