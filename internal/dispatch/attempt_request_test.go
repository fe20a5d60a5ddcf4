package dispatch

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

func validAttemptRequest() AttemptRequest {
	return AttemptRequest{
		Attempt: "a1", Incarnation: "i1", Team: "t", Checkpoint: "m", Method: http.MethodPost, Path: "/v1/completions",
		ContentType: "application/json", Class: ClassNormal, Timeout: time.Second, Offset: 7, Body: []byte(`{}`),
	}
}

func newRequestContext(r AttemptRequest) *app.RequestContext {
	c := app.NewContext(0)
	r.encode(&c.Request, "127.0.0.1:1")
	return c
}

// TestReadAttemptRequest checks that a request with an invalid header is refused,
// and that the error message names the header.
func TestReadAttemptRequest(t *testing.T) {
	rows := []struct {
		header, value, inMessage string
	}{
		{headerTimeoutMS, "", headerTimeoutMS},
		{headerTimeoutMS, "0", headerTimeoutMS},
		{headerTimeoutMS, "-5", headerTimeoutMS},
		{headerTimeoutMS, "9223372036854775807", headerTimeoutMS},
		{headerOffset, "x", headerOffset},
		{headerAttempt, "", "attempt"},
		{headerCheckpoint, "", "checkpoint"},
		{headerRoute, "r", "route"},
		{headerPath, "v1", headerPath},
		{headerPath, "@127.0.0.2:9/", headerPath},
		{headerPath, "/a b", headerPath},
		{headerMethod, "", headerMethod},
		{headerMethod, "GET /", headerMethod},
		{headerClass, "soon", headerClass},
		{headerStream, "maybe", headerStream},
		{headerOnce, "", headerOnce},
		{headerOnce, "true", headerKey},
	}
	for _, row := range rows {
		t.Run(row.header+"="+row.value, func(t *testing.T) {
			check := is.New(t)
			c := newRequestContext(validAttemptRequest())
			c.Request.Header.Set(row.header, row.value)
			_, err := ReadAttemptRequest(c)
			check.True(errkind.Is(err, errkind.InvalidRequest))
			check.True(strings.Contains(errkind.From(err).Message, row.inMessage)) // the message names the header
		})
	}
	check := is.New(t)
	got, err := ReadAttemptRequest(newRequestContext(validAttemptRequest()))
	check.NoErr(err)
	check.Equal(got, validAttemptRequest())
}

// TestShortTimeout guards against a timeout below one millisecond being sent as 0,
// which the agent would refuse as the caller's fault.
func TestShortTimeout(t *testing.T) {
	check := is.New(t)
	r := validAttemptRequest()
	r.Timeout = time.Microsecond
	got, err := ReadAttemptRequest(newRequestContext(r))
	check.NoErr(err)
	check.Equal(got.Timeout, time.Millisecond)
}

// FuzzReadAttemptRequest guards against accepting a request that could go to
// another address or run without a time limit.
func FuzzReadAttemptRequest(f *testing.F) {
	f.Add("a", "m", "", "POST", "/p", "normal", "5", "false", "false", "", "7")
	f.Add("a", "", "r", "GET", "/p?q=1", "bulk", "99999999999999999", "TRUE", "true", "k", "-1")
	f.Add("", "m", "r", "G T", "//h/p", "", "", "", "", "", "")
	f.Fuzz(func(t *testing.T, attempt, checkpoint, route, method, path, class, timeout, stream, once, key, offset string) {
		c := app.NewContext(0)
		for name, value := range map[string]string{
			headerAttempt: attempt, headerCheckpoint: checkpoint, headerRoute: route, headerMethod: method, headerPath: path,
			headerClass: class, headerTimeoutMS: timeout, headerStream: stream, headerOnce: once, headerKey: key, headerOffset: offset,
		} {
			c.Request.Header.Set(name, value)
		}
		r, err := ReadAttemptRequest(c)
		if err != nil {
			if !errkind.Is(err, errkind.InvalidRequest) {
				t.Fatal(err)
			}
			return
		}
		if r.Timeout <= 0 || r.Timeout > maxTimeout || r.Attempt == "" || !strings.HasPrefix(r.Path, "/") || (r.Checkpoint == "") == (r.Route == "") {
			t.Fatalf("accepted %+v", r)
		}
	})
}
