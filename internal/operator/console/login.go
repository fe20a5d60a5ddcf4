package console

import (
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const (
	sessionCookie = "jacinthbend_session"
	// loginCookie holds the CSRF token of the sign-in form, because there is no
	// session yet to hold it.
	loginCookie     = "jacinthbend_login"
	csrfField       = "csrf"
	loginTTLSeconds = 600
	maxAuthorBytes  = 100 // the limit of operator.Publisher.Publish
)

func (c *Console) session(rc *app.RequestContext) *session {
	return c.sessions.find(string(rc.Cookie(sessionCookie)))
}

func (c *Console) showLogin(_ context.Context, rc *app.RequestContext) {
	c.loginPage(rc, http.StatusOK, "")
}

func (c *Console) loginPage(rc *app.RequestContext, status int, message string) {
	csrf, err := c.sessions.token()
	if err != nil {
		c.fail(rc, nil, err)
		return
	}
	c.setCookie(rc, loginCookie, csrf, loginTTLSeconds)
	c.render(rc, status, "login", page{Title: "Sign in", CSRF: csrf, Message: message})
}

func (c *Console) login(_ context.Context, rc *app.RequestContext) {
	expected := string(rc.Cookie(loginCookie))
	if expected == "" || !equalSecrets(formValue(rc, csrfField), expected) {
		c.loginPage(rc, http.StatusForbidden, "The form has expired; please sign in again.")
		return
	}
	author := strings.TrimSpace(formValue(rc, "author"))
	if author == "" || len(author) > maxAuthorBytes {
		c.loginPage(rc, http.StatusUnprocessableEntity, "Enter your name, at most 100 bytes.")
		return
	}
	if c.sessions.failedLogins.Tokens() < 1 {
		c.loginPage(rc, http.StatusTooManyRequests, "Too many failed attempts; wait a few seconds.")
		return
	}
	if c.settings.Token == "" || !equalSecrets(formValue(rc, "token"), c.settings.Token) {
		c.sessions.failedLogins.Allow()
		c.loginPage(rc, http.StatusUnauthorized, "The operator token is wrong.")
		return
	}
	s, err := c.sessions.start(author)
	if err != nil {
		c.fail(rc, nil, err)
		return
	}
	c.deleteCookie(rc, loginCookie)
	c.setCookie(rc, sessionCookie, s.id, int(c.settings.SessionTTL.Seconds()))
	redirect(rc, "")
}

func (c *Console) logout(_ context.Context, rc *app.RequestContext, s *session) {
	c.sessions.end(s.id)
	c.deleteCookie(rc, sessionCookie)
	redirect(rc, "/login")
}

// rejectCSRF responds to a form that lacks the session's CSRF token.
func (c *Console) rejectCSRF(rc *app.RequestContext, s *session) {
	err := errkind.New(errkind.Forbidden, "the form does not belong to this session; open it again")
	c.failWith(rc, s, http.StatusForbidden, err)
}

func (c *Console) setCookie(rc *app.RequestContext, name, value string, maxAge int) {
	rc.SetCookie(name, value, maxAge, Prefix, "", protocol.CookieSameSiteStrictMode, c.settings.SecureCookies, true)
}

// deleteCookie makes the browser delete a cookie. RequestContext.SetCookie cannot
// do this, because it omits a negative max-age.
func (c *Console) deleteCookie(rc *app.RequestContext, name string) {
	cookie := protocol.AcquireCookie()
	defer protocol.ReleaseCookie(cookie)
	cookie.SetKey(name)
	cookie.SetPath(Prefix)
	cookie.SetHTTPOnly(true)
	cookie.SetSecure(c.settings.SecureCookies)
	cookie.SetSameSite(protocol.CookieSameSiteStrictMode)
	cookie.SetExpire(protocol.CookieExpireDelete)
	rc.Response.Header.SetCookie(cookie)
}

// formValue returns a field of the posted form. It copies the value, because the
// request's buffers are reused after the request.
func formValue(rc *app.RequestContext, name string) string { return strings.Clone(rc.PostForm(name)) }

func redirect(rc *app.RequestContext, path string) {
	setSecurityHeaders(rc)
	rc.Redirect(http.StatusSeeOther, []byte(Prefix+path))
}
