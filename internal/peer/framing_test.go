package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const testMaxBody = 1 << 20

// startRawServer starts a server that answers with the length of the body, and returns its address.
func startRawServer(tb testing.TB, o ServerOptions) string {
	check := is.New(tb)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	o.MaxBodyBytes, o.WriteTimeout, o.RequestIDHeader = testMaxBody, 2*time.Second, "Request-Id"
	h := NewServer(ln, o)
	h.POST("/x", func(_ context.Context, c *app.RequestContext) {
		c.String(http.StatusOK, fmt.Sprint(len(c.Request.Body())))
	})
	Handle(h.Engine, "/json", func(_ context.Context, m message) (message, error) { return m, nil })
	go func() { _ = h.Run() }()
	tb.Cleanup(func() { _ = h.Close() })
	return ln.Addr().String()
}

// exchange sends raw bytes and returns the response, its body, and whether the server then closed the
// connection.
func exchange(tb testing.TB, addr, raw string) (resp *http.Response, body string, closed bool) {
	check := is.New(tb)
	c, err := net.Dial("tcp", addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	check.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, raw)
	check.NoErr(err) // the server reads what it refuses
	r := bufio.NewReader(c)
	resp, err = http.ReadResponse(r, nil)
	check.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	check.NoErr(err)
	check.NoErr(c.SetDeadline(time.Now().Add(200 * time.Millisecond)))
	_, err = r.ReadByte()
	return resp, string(data), err == io.EOF
}

// TestRefusedRequests guards against requests whose end other servers see elsewhere, against refusals
// that are not our JSON or that a reset takes from the client, and against a connection that goes on
// after one.
func TestRefusedRequests(t *testing.T) {
	addr := startRawServer(t, ServerOptions{})
	post := func(path string, lines ...string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n" + strings.Join(lines, "\r\n") + "\r\n"
	}
	const chunks = "\r\n5\r\nhello\r\n0\r\n\r\n"
	for name, row := range map[string]struct {
		raw    string
		status int
		kind   errkind.Kind
		// open is set if the connection may go on.
		open bool
	}{
		"length and chunks":         {post("/x", "Content-Length: 5", "Transfer-Encoding: chunked") + chunks, 400, errkind.InvalidRequest, false},
		"chunks and length":         {post("/x", "Transfer-Encoding: chunked", "Content-Length: 5") + chunks, 400, errkind.InvalidRequest, false},
		"two lengths":               {post("/x", "Content-Length: 5", "Content-Length: 50000") + "\r\nhello", 400, errkind.InvalidRequest, false},
		"list of lengths":           {post("/x", "Content-Length: 5, 5") + "\r\nhello", 400, errkind.InvalidRequest, false},
		"signed length":             {post("/x", "Content-Length: +5") + "\r\nhello", 400, errkind.InvalidRequest, false},
		"chunked, identity":         {post("/x", "Transfer-Encoding: chunked, identity") + chunks, 400, errkind.InvalidRequest, false},
		"identity":                  {post("/x", "Transfer-Encoding: identity") + "\r\n", 400, errkind.InvalidRequest, false},
		"gzip, chunked":             {post("/x", "Transfer-Encoding: gzip, chunked") + chunks, 400, errkind.InvalidRequest, false},
		"two codings":               {post("/x", "Transfer-Encoding: chunked", "transfer-encoding: chunked") + chunks, 400, errkind.InvalidRequest, false},
		"chunks in HTTP/1.0":        {"POST /x HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n" + chunks, 400, errkind.InvalidRequest, false},
		"continued line":            {post("/x", "Content-Length: 5", "X: a", " b") + "\r\nhello", 400, errkind.InvalidRequest, false},
		"two Authorization":         {post("/x", "Authorization: Bearer a", "authorization: Bearer b", "Content-Length: 0") + "\r\n", 400, errkind.InvalidRequest, false},
		"two X-Api-Key":             {post("/x", "X-Api-Key: a", "X-Api-Key: a", "Content-Length: 0") + "\r\n", 400, errkind.InvalidRequest, false},
		"two Idempotency-Key":       {post("/x", "Idempotency-Key: a", "Idempotency-Key: b") + "\r\n", 400, errkind.InvalidRequest, false},
		"two Host":                  {post("/x", "host: b") + "\r\n", 400, errkind.InvalidRequest, false},
		"no request":                {"hello\r\n\r\n", 400, errkind.InvalidRequest, false},
		"no host":                   {"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400, errkind.InvalidRequest, true},
		"head over the limit":       {post("/x", "X: "+strings.Repeat("x", 3*maxHeaderBytes)) + "\r\n", 431, errkind.HeadersTooLarge, false},
		"chunk extension":           {post("/x", "Transfer-Encoding: chunked") + "\r\n5;a=b\r\nhello\r\n0\r\n\r\n", 400, errkind.InvalidRequest, false},
		"chunk line without end":    {post("/x", "Transfer-Encoding: chunked") + "\r\n5" + strings.Repeat(" ", 4<<20), 400, errkind.InvalidRequest, false},
		"trailer without end":       {post("/x", "Transfer-Encoding: chunked") + "\r\n0\r\n" + strings.Repeat("X: y\r\n", 1<<20), 400, errkind.InvalidRequest, false},
		"wrong chunk end":           {post("/x", "Transfer-Encoding: chunked") + "\r\n5\r\nhelloworld\r\n0\r\n\r\n", 400, errkind.InvalidRequest, false},
		"announced over the limit":  {post("/x", fmt.Sprintf("Content-Length: %d", 8*testMaxBody)) + "\r\n" + strings.Repeat("b", 8*testMaxBody), 413, errkind.BodyTooLarge, false},
		"announced and not sent":    {post("/x", fmt.Sprintf("Content-Length: %d", 8*testMaxBody)) + "\r\n", 413, errkind.BodyTooLarge, false},
		"announced, expects to":     {post("/x", fmt.Sprintf("Content-Length: %d", 8*testMaxBody), "Expect: 100-continue") + "\r\n", 413, errkind.BodyTooLarge, false},
		"chunks over the limit":     {post("/x", "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("b", 1<<16)+"\r\n", 160), 413, errkind.BodyTooLarge, false},
		"unknown path":              {post("/y", "Content-Length: 0") + "\r\n", 404, errkind.RouteNotFound, true},
		"unknown method":            {"BREW /x HTTP/1.1\r\nHost: a\r\n\r\n", 405, errkind.MethodNotAllowed, true},
		"invalid UTF-8":             {post("/json", "Content-Length: 10") + "\r\n{\"a\":\"\xff\"} ", 400, errkind.InvalidRequest, true},
		"invalid UTF-8 in a number": {post("/json", "Content-Length: 6") + "\r\n{\xc3\x28:1}", 400, errkind.InvalidRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			resp, body, closed := exchange(t, addr, row.raw)
			check.Equal(resp.StatusCode, row.status)
			check.Equal(resp.Header.Get("Content-Type"), "application/json")
			var b errkind.Body
			check.NoErr(json.Unmarshal([]byte(body), &b))
			check.Equal(b.Error.Kind, row.kind)
			check.Equal(b.Error.Ran, errkind.RanNo)
			check.Equal(closed, !row.open)
		})
	}
}

// TestAcceptedRequests guards against refusing what ordinary clients send: bodies up to the limit, in
// chunks of any size and with trailers, heads in parts, and requests one after the other.
func TestAcceptedRequests(t *testing.T) {
	addr := startRawServer(t, ServerOptions{ReadLimit: 20 * time.Second})
	chunked := func(size int, sizes ...int) string {
		var b strings.Builder
		b.WriteString("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n")
		for i := 0; size > 0; i++ {
			n := min(size, sizes[i%len(sizes)])
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("b", n))
			size -= n
		}
		return b.String() + "0\r\n"
	}
	sized := func(size int) string {
		return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	}
	for _, row := range []struct {
		raw   string
		sizes []int
	}{
		{sized(0), []int{0}},
		{sized(1) + sized(9000) + chunked(70, 7) + "\r\n" + sized(testMaxBody) + sized(3), []int{1, 9000, 70, testMaxBody, 3}},
		{chunked(testMaxBody, testMaxBody) + "\r\n", []int{testMaxBody}},
		{chunked(testMaxBody, 1<<16, 1, 999) + "X: y\r\nZ: \r\n\r\n" + sized(2), []int{testMaxBody, 2}},
		{chunked(55<<10, 1) + "\r\n", []int{55 << 10}},
		{chunked(200, 100, 99, 1) + "\r\n" + chunked(5, 5) + "\r\n", []int{200, 5}},
		{"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\ncontent-length: 5\r\nX: " + strings.Repeat("x", 15<<10) + "\r\n\r\nhello", []int{5}},
		{"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", []int{5}},
	} {
		for _, part := range []int{1 << 30, 1000, 13} {
			if len(row.raw)/part > 1<<13 {
				continue
			}
			t.Run(fmt.Sprint(row.sizes, part), func(t *testing.T) {
				check := is.New(t)
				c, err := net.Dial("tcp", addr)
				check.NoErr(err)
				defer func() { _ = c.Close() }()
				check.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
				go func() {
					for raw := row.raw; raw != ""; {
						n := min(part, len(raw))
						if _, err := io.WriteString(c, raw[:n]); err != nil {
							return
						}
						raw = raw[n:]
					}
				}()
				r := bufio.NewReader(c)
				for _, size := range row.sizes {
					resp, err := http.ReadResponse(r, nil)
					check.NoErr(err)
					if resp.StatusCode == http.StatusContinue {
						resp, err = http.ReadResponse(r, nil)
						check.NoErr(err)
					}
					body, err := io.ReadAll(resp.Body)
					check.NoErr(err)
					check.Equal(resp.StatusCode, http.StatusOK)
					check.Equal(string(body), fmt.Sprint(size))
				}
			})
		}
	}
}
