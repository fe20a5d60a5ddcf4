package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const completions = "/v1/completions"

// TestBounds guards against bad input that is answered without a kind or
// without the name of the field, or that is dispatched or charged all the same.
func TestBounds(t *testing.T) {
	long := strings.Repeat("x", 5000)
	rows := []struct {
		name, method, path, body string
		headers                  map[string]string
		kind                     errkind.Kind
		names                    string
	}{
		{"body over the limit", "POST", completions, `{"model":"m","prompt":"` + long + `"}`, nil, errkind.BodyTooLarge, "body"},
		{"headers over the limit", "POST", completions, `{"model":"m"}`, map[string]string{"X-Long": strings.Repeat("x", 40<<10)}, errkind.HeadersTooLarge, "header"},
		{"unknown route", "POST", "/v1/images", "", nil, errkind.RouteNotFound, "/v1/images"},
		{"wrong method", "POST", "/v1/models", "", nil, errkind.MethodNotAllowed, "POST"},
		{"wrong method of completions", "GET", completions, "", nil, errkind.MethodNotAllowed, "GET"},
		{"unknown method", "BREW", completions, "", nil, errkind.MethodNotAllowed, "BREW"},
		{"wrong method of a route", "PUT", "/svc/svc/x", "", nil, errkind.MethodNotAllowed, "PUT"},
		{"unknown service route", "POST", "/svc/none/x", "", nil, errkind.RouteNotFound, "none"},
		{"empty body", "POST", completions, "", nil, errkind.InvalidRequest, "body"},
		{"cut JSON", "POST", completions, `{"model":"m"`, nil, errkind.InvalidRequest, "body"},
		{"no object", "POST", completions, `[1]`, nil, errkind.InvalidRequest, "body"},
		{"null", "POST", completions, `null`, nil, errkind.InvalidRequest, "body"},
		{"second value", "POST", completions, `{"model":"m"}{}`, nil, errkind.InvalidRequest, "body"},
		{"model of wrong type", "POST", completions, `{"model":1}`, nil, errkind.InvalidRequest, "model"},
		{"stream of wrong type", "POST", completions, `{"model":"m","stream":"yes"}`, nil, errkind.InvalidRequest, "stream"},
		{"no model", "POST", completions, `{}`, nil, errkind.InvalidRequest, "model"},
		{"negative max_tokens", "POST", completions, `{"model":"m","max_tokens":-1}`, nil, errkind.InvalidRequest, "max_tokens"},
		{"huge max_tokens", "POST", completions, `{"model":"m","max_tokens":1000000000}`, nil, errkind.InvalidRequest, "max_tokens"},
		{"overflowing max_tokens", "POST", completions, `{"model":"m","max_tokens":1e30}`, nil, errkind.InvalidRequest, "max_tokens"},
		{"huge max_completion_tokens", "POST", completions, `{"model":"m","max_completion_tokens":1000000000}`, nil, errkind.InvalidRequest, "max_completion_tokens"},
		{"repeated field", "POST", completions, `{"model":"private","model":"m"}`, nil, errkind.InvalidRequest, "model"},
		{"field in other case", "POST", completions, `{"model":"private","Model":"m"}`, nil, errkind.InvalidRequest, "Model"},
		{"bad deadline", "POST", completions, `{"model":"m"}`, map[string]string{headerDeadlineMS: "soon"}, errkind.InvalidRequest, headerDeadlineMS},
		{"negative deadline", "POST", completions, `{"model":"m"}`, map[string]string{headerDeadlineMS: "-1"}, errkind.InvalidRequest, headerDeadlineMS},
		{"huge deadline", "POST", completions, `{"model":"m"}`, map[string]string{headerDeadlineMS: "99999999999999999999"}, errkind.InvalidRequest, headerDeadlineMS},
		{"bad class", "POST", completions, `{"model":"m"}`, map[string]string{headerClass: "now"}, errkind.InvalidRequest, headerClass},
		{"compressed body", "POST", completions, `{"model":"m"}`, map[string]string{"Content-Encoding": "gzip"}, errkind.InvalidRequest, "Content-Encoding"},
		{"long model", "POST", completions, `{"model":"` + long[:3000] + `"}`, nil, errkind.ModelNotFound, "model"},
		{"long name twice", "POST", completions, `{"` + long[:1500] + `":1,"` + long[:1500] + `":1}`, nil, errkind.InvalidRequest, "field"},
		{"long route", "POST", "/svc/" + long, "", nil, errkind.RouteNotFound, "route"},
		{"long path", "POST", "/" + long, "", nil, errkind.RouteNotFound, "POST"},
		{"no key", "POST", "/svc/buy/x", "", nil, errkind.InvalidRequest, headerIdempotencyKey},
		{"bad key", "POST", "/svc/buy/x", "", map[string]string{headerIdempotencyKey: "1"}, errkind.InvalidRequest, headerIdempotencyKey},
		{"bad key of a look-up", "GET", "/v1/requests/1", "", nil, errkind.InvalidRequest, headerIdempotencyKey},
		{"no token", "GET", "/v1/models", "", map[string]string{"Authorization": "Basic eDp5"}, errkind.Unauthenticated, "Authorization"},
		{"long token", "GET", "/v1/models", "", map[string]string{"Authorization": bearer + long}, errkind.Unauthenticated, "bytes"},
		{"unknown token", "GET", "/v1/models", "", map[string]string{"Authorization": bearer + "none"}, errkind.Unauthenticated, "key"},
		{"another team's model", "POST", completions, `{"model":"private"}`, nil, errkind.ModelNotFound, "private"},
		{"another team's adapter", "POST", completions, `{"model":"m:hidden"}`, nil, errkind.ModelNotFound, "m:hidden"},
		{"adapter of another team's model", "POST", completions, `{"model":"private:p"}`, nil, errkind.ModelNotFound, "private:p"},
		{"adapter of another model", "POST", completions, `{"model":"m:p"}`, nil, errkind.ModelNotFound, "m:p"},
		{"another team's route", "POST", "/svc/theirs/x", "", nil, errkind.Forbidden, "theirs"},
		{"open route's neighbour", "POST", "/svc/open/../theirs/x", "", nil, errkind.Forbidden, "theirs"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			w := newWorld(t)
			r := w.send(t, row.method, row.path, row.body, row.headers)
			check.Equal(r.Error.Kind, row.kind)
			check.Equal(r.Error.Ran, errkind.RanNo)
			check.Equal(r.status, errkind.ResponseFor(row.kind).Status)
			check.True(strings.Contains(r.Error.Message, row.names)) // the message names the field
			check.True(len(r.Error.Message) < 300)                   // the input is not echoed in full
			check.True(r.Error.RequestID != "")
			check.Equal(len(w.sent()), 0) // nothing is dispatched
			for _, tokens := range w.charged() {
				check.Equal(tokens, 0.0)
			}
		})
	}
}

// TestMultipart guards against a form that is parsed and written anew in
// another order: the digest of a repeated call would differ.
func TestMultipart(t *testing.T) {
	check := is.New(t)
	w := newWorld(t)
	var body strings.Builder
	for _, name := range []string{"z", "a", "m", "b", "y", "c"} {
		body.WriteString("--b\r\nContent-Disposition: form-data; name=\"" + name + "\"\r\n\r\n1\r\n")
	}
	body.WriteString("--b--\r\n")
	r := w.send(t, http.MethodPost, "/svc/svc/x", body.String(), map[string]string{"Content-Type": "multipart/form-data; boundary=b"})
	check.Equal(r.status, http.StatusOK)
	check.Equal(string(w.sent()[0].Body), body.String())
}
