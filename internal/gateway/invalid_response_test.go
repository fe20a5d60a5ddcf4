package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

const stampedFields = "Jacinthbend-Server-Stamp: st\r\nJacinthbend-Request-Id: r1\r\n"

// sendRaw answers with a response that is sent as it is.
func sendRaw(r responsetest.Response, fields string) script {
	return func(c net.Conn, _ receivedRequest) bool { return r.Write(c, stampedFields+fields) }
}

// atOnce is how long the caller of an upstream with an invalid response may wait. Its deadline is in 3 s.
const atOnce = 1500 * time.Millisecond

// TestInvalidResponseReachesCaller guards against a response that breaks the protocol and reaches the
// caller, as it is or repaired, and against a caller that waits for its deadline or is told that its
// request did not run.
func TestInvalidResponseReachesCaller(t *testing.T) {
	for _, r := range responsetest.Invalid {
		for name, row := range map[string]struct{ path, fields string }{
			"buffered": {"/once/", ""}, "streamed": {"/stream/", "Content-Type: text/event-stream\r\n"}, "refused": {"/once/", "Jacinthbend-Not-Executed: 1\r\n"},
		} {
			t.Run(name+"/"+r.Name, func(t *testing.T) {
				check := is.New(t)
				env := newEnv(t, sendRaw(r, row.fields))
				began := time.Now()
				resp := env.send("POST", row.path, "x")
				check.True(time.Since(began) < atOnce)
				check.True(!strings.Contains(resp.body, responsetest.Body))
				if resp.err == nil {
					check.Equal(resp.status, http.StatusBadGateway)
					check.True(strings.Contains(resp.body, `"ran":"unknown"`))
				}
			})
		}
	}
}

// TestInvalidResponseOfOneUpstream guards against an upstream with invalid responses that keeps its share
// of the requests, and whose trouble does not show in the log.
func TestInvalidResponseOfOneUpstream(t *testing.T) {
	const requests = 30
	for _, r := range responsetest.Invalid {
		if r.End != responsetest.KeepOpen {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, sendRaw(r, ""), respond(200, "ok"))
			for range requests {
				resp := env.send("GET", "/safe/", "")
				check.NoErr(resp.err)
				check.Equal(resp.status, 200)
				check.Equal(resp.body, "ok")
			}
			invalid := 0
			for _, got := range env.receivedRequests() {
				if got.upstream == "i-0" {
					invalid++
				}
			}
			check.True(invalid <= requests/3) // the upstream is preferred as long as it is sound
			env.waitIdle()
			logged := 0
			for _, line := range env.logs.FilterMessage("attempt failed").All() {
				if fields := line.ContextMap(); fields["upstream"] == "i-0" && strings.Contains(fields["error"].(string), "invalid response") {
					logged++
				}
			}
			check.Equal(logged, invalid)
		})
	}
}

// TestSoundResponseToCaller guards against sound responses that are lost or changed by the checks.
func TestSoundResponseToCaller(t *testing.T) {
	for _, r := range responsetest.Sound {
		t.Run(r.Name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, sendRaw(r, ""))
			for range 3 {
				resp := env.send("GET", "/once/", "")
				check.NoErr(resp.err)
				check.Equal(resp.status, 200)
				check.Equal(resp.body, responsetest.Body)
			}
		})
	}
}

// TestEarlyResponseToUpload guards against a response that was broken off by a reset while the request was
// still being written and reaches the caller as complete, and against one that is complete and lost.
func TestEarlyResponseToUpload(t *testing.T) {
	const attempts = 20
	upload := strings.Repeat("x", responsetest.UploadBytes)
	for _, r := range responsetest.Early {
		t.Run(r.Name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, respond(200, "ok"))
			view, config := *env.view, *env.view.Config
			config.Limits.MaxBodyBytes = len(upload)
			u := *view.Upstreams["i-0"]
			u.Addr = responsetest.ServeEarly(t, r.Response, stampedFields)
			view.Upstreams, view.Config = map[string]*fleet.Upstream{"i-0": &u}, &config
			env.gateway.Update(&view)
			for range attempts {
				resp := env.send("POST", "/once/", upload)
				if r.Complete {
					check.NoErr(resp.err)
					check.Equal(resp.status, 200)
					check.Equal(resp.body, responsetest.Body)
					continue
				}
				check.True(resp.err != nil || resp.status == http.StatusBadGateway)
				check.True(!strings.Contains(resp.body, responsetest.Body))
			}
		})
	}
}

// TestInvalidRestOfStream guards against a stream that becomes invalid after its first event and looks
// complete, or keeps the caller waiting.
func TestInvalidRestOfStream(t *testing.T) {
	const second = "id: 2\ndata: b\n\n"
	for name, rest := range map[string]string{"chunk size": "zz\r\n", "trailer": "0\r\nX Y: z\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			begun := responseHead(200, "r1", "Transfer-Encoding: chunked") + fmt.Sprintf("\r\n%x\r\n%s\r\n", len(event1), event1)
			invalid := func(c net.Conn, _ receivedRequest) bool {
				_, err := io.WriteString(c, begun+rest)
				return err == nil
			}
			began := time.Now()
			resp := newEnv(t, invalid).send("POST", "/stream/", "x")
			check.True(resp.err != nil) // cut
			check.Equal(resp.body, event1)
			resp = newEnv(t, invalid, chunkedStream(true, second)).send("POST", "/resume/", "x")
			check.NoErr(resp.err)
			check.Equal(resp.body, event1+second)
			check.True(time.Since(began) < atOnce)
		})
	}
}
