package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const completionsPath = "/v1/completions"

// TestInvalidRequests guards against an invalid request that is dispatched or
// charged, or whose error lacks its kind or the name of the offending field.
func TestInvalidRequests(t *testing.T) {
	long := strings.Repeat("x", 5000)
	rows := []struct {
		name, method, path, body string
		headers                  map[string]string
		kind                     errkind.Kind
		mention                  string
	}{
		{"body over the limit", "POST", completionsPath, `{"model":"m","prompt":"` + long + `"}`, nil, errkind.BodyTooLarge, "body"},
		{"headers over the limit", "POST", completionsPath, `{"model":"m"}`, map[string]string{"X-Long": strings.Repeat("x", 40<<10)}, errkind.HeadersTooLarge, "header"},
		{"unknown route", "POST", "/v1/images", "", nil, errkind.RouteNotFound, "/v1/images"},
		{"wrong method", "POST", "/v1/models", "", nil, errkind.MethodNotAllowed, "POST"},
		{"wrong method of completions", "GET", completionsPath, "", nil, errkind.MethodNotAllowed, "GET"},
		{"unknown method", "BREW", completionsPath, "", nil, errkind.MethodNotAllowed, "BREW"},
		{"wrong method of a route", "PUT", "/svc/svc/x", "", nil, errkind.MethodNotAllowed, "PUT"},
		{"unknown service route", "POST", "/svc/none/x", "", nil, errkind.RouteNotFound, "none"},
		{"empty body", "POST", completionsPath, "", nil, errkind.InvalidRequest, "body"},
		{"cut JSON", "POST", completionsPath, `{"model":"m"`, nil, errkind.InvalidRequest, "body"},
		{"no object", "POST", completionsPath, `[1]`, nil, errkind.InvalidRequest, "body"},
		{"null", "POST", completionsPath, `null`, nil, errkind.InvalidRequest, "body"},
		{"second value", "POST", completionsPath, `{"model":"m"}{}`, nil, errkind.InvalidRequest, "body"},
		{"model of wrong type", "POST", completionsPath, `{"model":1}`, nil, errkind.InvalidRequest, "model"},
		{"stream of wrong type", "POST", completionsPath, `{"model":"m","stream":"yes"}`, nil, errkind.InvalidRequest, "stream"},
		{"no model", "POST", completionsPath, `{}`, nil, errkind.InvalidRequest, "model"},
		{"negative max_tokens", "POST", completionsPath, `{"model":"m","max_tokens":-1}`, nil, errkind.InvalidRequest, "max_tokens"},
		{"huge max_tokens", "POST", completionsPath, `{"model":"m","max_tokens":1000000000}`, nil, errkind.InvalidRequest, "max_tokens"},
		{"overflowing max_tokens", "POST", completionsPath, `{"model":"m","max_tokens":1e30}`, nil, errkind.InvalidRequest, "max_tokens"},
		{"huge max_completion_tokens", "POST", completionsPath, `{"model":"m","max_completion_tokens":1000000000}`, nil, errkind.InvalidRequest, "max_completion_tokens"},
		{"repeated field", "POST", completionsPath, `{"model":"private","model":"m"}`, nil, errkind.InvalidRequest, "model"},
		{"field in other case", "POST", completionsPath, `{"model":"private","Model":"m"}`, nil, errkind.InvalidRequest, "Model"},
		{"bad deadline", "POST", completionsPath, `{"model":"m"}`, map[string]string{headerDeadlineMS: "soon"}, errkind.InvalidRequest, headerDeadlineMS},
		{"negative deadline", "POST", completionsPath, `{"model":"m"}`, map[string]string{headerDeadlineMS: "-1"}, errkind.InvalidRequest, headerDeadlineMS},
		{"huge deadline", "POST", completionsPath, `{"model":"m"}`, map[string]string{headerDeadlineMS: "99999999999999999999"}, errkind.InvalidRequest, headerDeadlineMS},
		{"bad class", "POST", completionsPath, `{"model":"m"}`, map[string]string{headerClass: "now"}, errkind.InvalidRequest, headerClass},
		{"compressed body", "POST", completionsPath, `{"model":"m"}`, map[string]string{"Content-Encoding": "gzip"}, errkind.InvalidRequest, "Content-Encoding"},
		{"long model", "POST", completionsPath, `{"model":"` + long[:3000] + `"}`, nil, errkind.ModelNotFound, "model"},
		{"long name twice", "POST", completionsPath, `{"` + long[:1500] + `":1,"` + long[:1500] + `":1}`, nil, errkind.InvalidRequest, "field"},
		{"long route", "POST", "/svc/" + long, "", nil, errkind.RouteNotFound, "route"},
		{"long path", "POST", "/" + long, "", nil, errkind.RouteNotFound, "POST"},
		{"no key", "POST", "/svc/buy/x", "", nil, errkind.InvalidRequest, headerIdempotencyKey},
		{"bad key", "POST", "/svc/buy/x", "", map[string]string{headerIdempotencyKey: "1"}, errkind.InvalidRequest, headerIdempotencyKey},
		{"bad key of a lookup", "GET", "/v1/requests/1", "", nil, errkind.InvalidRequest, headerIdempotencyKey},
		{"no token", "GET", "/v1/models", "", map[string]string{"Authorization": "Basic eDp5"}, errkind.Unauthenticated, "Authorization"},
		{"long token", "GET", "/v1/models", "", map[string]string{"Authorization": bearerPrefix + long}, errkind.Unauthenticated, "bytes"},
		{"unknown token", "GET", "/v1/models", "", map[string]string{"Authorization": bearerPrefix + "none"}, errkind.Unauthenticated, "key"},
		{"another team's model", "POST", completionsPath, `{"model":"private"}`, nil, errkind.ModelNotFound, "private"},
		{"another team's adapter", "POST", completionsPath, `{"model":"m:hidden"}`, nil, errkind.ModelNotFound, "m:hidden"},
		{"adapter of another team's model", "POST", completionsPath, `{"model":"private:p"}`, nil, errkind.ModelNotFound, "private:p"},
		{"adapter of another model", "POST", completionsPath, `{"model":"m:p"}`, nil, errkind.ModelNotFound, "m:p"},
		{"another team's route", "POST", "/svc/theirs/x", "", nil, errkind.Forbidden, "theirs"},
		{"path from an open route to another route", "POST", "/svc/open/../theirs/x", "", nil, errkind.Forbidden, "theirs"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env := newTestEnv(t)
			r := env.send(t, row.method, row.path, row.body, row.headers)
			check.Equal(r.Error.Kind, row.kind)
			check.Equal(r.Error.Ran, errkind.RanNo)
			check.Equal(r.status, errkind.ResponseFor(row.kind).Status)
			check.True(strings.Contains(r.Error.Message, row.mention)) // the message names the field
			check.True(len(r.Error.Message) < 300)                     // the input is not echoed in full
			check.True(r.Error.RequestID != "")
			check.Equal(len(env.sentRequests()), 0) // nothing is dispatched
			for _, tokens := range env.chargedTokens() {
				check.Equal(tokens, 0.0)
			}
		})
	}
}

// TestMultipartBodyUnchanged guards against a form that is parsed and encoded
// again in another field order, because a resent call would then get another
// digest.
func TestMultipartBodyUnchanged(t *testing.T) {
	check := is.New(t)
	env := newTestEnv(t)
	var body strings.Builder
	for _, name := range []string{"z", "a", "m", "b", "y", "c"} {
		body.WriteString("--b\r\nContent-Disposition: form-data; name=\"" + name + "\"\r\n\r\n1\r\n")
	}
	body.WriteString("--b--\r\n")
	r := env.send(t, http.MethodPost, "/svc/svc/x", body.String(), map[string]string{"Content-Type": "multipart/form-data; boundary=b"})
	check.Equal(r.status, http.StatusOK)
	check.Equal(string(env.sentRequests()[0].Body), body.String())
}
