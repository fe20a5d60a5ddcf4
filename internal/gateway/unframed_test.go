package gateway_test

import (
	"testing"

	"github.com/matryer/is"
)

// unframed answers with a body that has neither a length nor chunks and ends with its
// connection.
func unframed(body string) script {
	return rawResponse(responseHead(200, "r1", "Content-Type: text/event-stream", "Connection: close") + "\r\n" + body)
}

// TestUnframedAnswerThatEndsEarly guards against an answer without a length that breaks off,
// because its upstream crashes or ends inside an event, and reaches the caller as complete.
func TestUnframedAnswerThatEndsEarly(t *testing.T) {
	const second = "id: 2\ndata: b\n\n"
	for name, row := range map[string]struct {
		path  string
		first script
		// body is what the caller gets, complete if ok is set.
		body string
		ok   bool
	}{
		"complete":                    {"/stream/", unframed(event1 + second), event1 + second, true},
		"inside an event":             {"/stream/", unframed(event1 + "id: 2\nda"), event1, false},
		"no event":                    {"/stream/", unframed(""), "", false},
		"crash between events":        {"/stream/", crash(unframed(event1)), event1, false},
		"crash before the first":      {"/stream/", crash(unframed("")), "", false},
		"crash, resumed":              {"/resume/", crash(unframed(event1)), event1 + second, true},
		"complete body":               {"/safe/", unframed("whole"), "whole", true},
		"crash inside a body, retry":  {"/safe/", crash(unframed("hal")), second, true},
		"crash inside a body, refuse": {"/once/", crash(unframed("hal")), "", false},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, row.first, unframed(second))
			resp := env.send("POST", row.path, "x")
			if !row.ok && resp.err == nil {
				check.Equal(resp.status, 502)
				return
			}
			check.Equal(resp.err == nil, row.ok)
			check.Equal(resp.body, row.body)
		})
	}
}
