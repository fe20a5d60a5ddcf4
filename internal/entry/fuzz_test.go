package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// FuzzCompletion guards against a body that is checked for one model but names
// another model to a different decoder, case-sensitive or case-insensitive (H4).
func FuzzCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","prompt":"p","stream":true,"max_tokens":5}`, `{"model":"private","Model":"m"}`,
		`{"model":"private","model":"m"}`, `{"model":"m","\u006dodel":"m:a"}`, `{"model":"m:a","messages":[{"model":"x"}]}`,
		`{"max_tokens":1e9,"model":"m"}`, `{"max_to\u212aens":1,"model":"m"}`, `{"model":null}`, `{"model":"m"`, `null`, `[]`, ``, `{"model":"m"}{}`,
		`{"":1,"":2}`, "{\"model\":\"\xff\"}",
	} {
		f.Add([]byte(body))
	}
	v := testView()
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := decodeCompletion(body)
		if err == nil {
			err = checkModel(v, req, "own")
		}
		if err != nil {
			if e := errkind.From(err); e.Kind == errkind.Internal || e.Ran != errkind.RanNo {
				t.Fatalf("%q is refused with %v", body, e)
			}
			return
		}
		var exact map[string]any
		var loose struct {
			Model     string
			Stream    bool
			MaxTokens int `json:"max_tokens"`
		}
		if json.Unmarshal(body, &exact) != nil || json.Unmarshal(body, &loose) != nil {
			t.Fatalf("%q is accepted but is not a JSON object", body)
		}
		if exact["model"] != req.Model || loose.Model != req.Model || loose.Stream != req.Stream || loose.MaxTokens != req.MaxTokens {
			t.Fatalf("%q is read as %+v and as %+v", body, req, loose)
		}
		if tokens := req.estimate(); tokens < 0 || tokens > 2*maxTokensLimit+float64(len(body)) {
			t.Fatalf("%q is estimated at %v tokens", body, tokens)
		}
	})
}

// FuzzHeaders guards against headers that are accepted with a team other than
// the key's, an unknown class or a deadline outside the limits.
func FuzzHeaders(f *testing.F) {
	f.Add(bearerPrefix+ownKey, "urgent", "1")
	f.Add("bearer "+otherKey, "", "600000")
	f.Add("Bearer ", "now", "-1")
	f.Add("Bearer\x00x", "bulk", "99999999999999999999")
	f.Add("", "NORMAL", "+5")
	v := testView()
	longest := time.Duration(v.Limits.WithDefaults().MaxDeadlineMS) * time.Millisecond
	f.Fuzz(func(t *testing.T, authorization, class, deadline string) {
		c := app.NewContext(0)
		c.Request.Header.Set("Authorization", authorization)
		c.Request.Header.Set(headerClass, class)
		c.Request.Header.Set(headerDeadlineMS, deadline)
		info := &requestInfo{start: time.Now()}
		if err := authenticate(v, c, info); err != nil {
			if !errkind.Is(err, errkind.Unauthenticated) || info.team != "" {
				t.Fatalf("%q is refused with %v for team %q", authorization, err, info.team)
			}
			return
		}
		token, _ := bearerToken(c.Request.Header.Get("Authorization"))
		if want := map[string]string{ownKey: "own", otherKey: "other"}[token]; want == "" || info.team != want {
			t.Fatalf("%q runs for team %q", authorization, info.team)
		}
		if err := readHeaders(v, c, info); err != nil {
			if !errkind.Is(err, errkind.InvalidRequest) {
				t.Fatal(err)
			}
			return
		}
		if left := info.deadline.Sub(info.start); !info.class.Valid() || left <= 0 || left > longest {
			t.Fatalf("class %q and deadline %q pass as %q and %v", class, deadline, info.class, left)
		}
	})
}
