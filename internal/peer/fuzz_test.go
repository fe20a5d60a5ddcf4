package peer

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
)

// rawSeeds are requests whose variations are sent.
var rawSeeds = []string{
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n",
	"POST /json HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 7\r\n\r\n{\"n\":1}GET /x HTTP/1.0\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: keep-alive\r\nContent-Length: 20\r\n\r\n01234567890123456789\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\nCookie: a=b; c=d\r\n\r\n", "\r\n\r\nGET http://b/x?%zz HTTP/1.1\nHost: a\n\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551616\r\nTransfer-Encoding : chunked\r\n\r\nffffffffffffffff\r\n",
}

// checkRaw sends raw bytes to a server, whose connection must end, and an ordinary request.
func checkRaw(tb testing.TB, addr string, raw []byte) {
	check := is.New(tb)
	c, err := net.Dial("tcp", addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	check.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	_, _ = c.Write(raw) // the server may have closed the connection
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := io.Copy(io.Discard, c); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			tb.Fatalf("the connection does not end after %q", raw)
		}
	}
	resp, body, _ := exchange(tb, addr, "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
	check.Equal(resp.StatusCode, http.StatusOK)
	check.Equal(body, "4")
}

// FuzzListener guards against bytes of a client that end the process, hold a connection for ever or
// disturb the requests of others.
func FuzzListener(f *testing.F) {
	hlog.SetOutput(io.Discard)
	for _, seed := range rawSeeds {
		f.Add([]byte(seed))
	}
	addr := startRawServer(f, ServerOptions{ReadLimit: 2 * time.Second})
	f.Fuzz(func(t *testing.T, raw []byte) { checkRaw(t, addr, raw) })
}

// TestListenerVariations sends variations of the seeds of FuzzListener that are the same in each run.
func TestListenerVariations(t *testing.T) {
	const variations, seed = 400, 5
	hlog.SetOutput(io.Discard)
	addr := startRawServer(t, ServerOptions{ReadLimit: 2 * time.Second})
	r := rand.New(rand.NewPCG(seed, seed))
	pieces := []string{"\r\n", "\n", "\x00", "\xff", ":", " ", "0", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "\r\n\r\n", "ffffffff\r\n", strings.Repeat("a", 5000), "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"}
	for i := range variations {
		raw := []byte(rawSeeds[r.IntN(len(rawSeeds))])
		for range 1 + r.IntN(4) {
			at := r.IntN(len(raw) + 1)
			switch r.IntN(4) {
			case 0:
				raw = append(raw[:at:at], append([]byte(pieces[r.IntN(len(pieces))]), raw[at:]...)...)
			case 1:
				raw = append(raw[:at:at], raw[min(len(raw), at+1+r.IntN(20)):]...)
			case 2:
				raw = append(raw, rawSeeds[r.IntN(len(rawSeeds))]...)
			default:
				if at < len(raw) {
					raw[at] = byte(r.IntN(256))
				}
			}
		}
		t.Run(fmt.Sprint(i), func(t *testing.T) { checkRaw(t, addr, raw) })
	}
}

// TestPipelinedHeadOfRefused guards against a request that is taken from the body of a refused one.
func TestPipelinedHeadOfRefused(t *testing.T) {
	check := is.New(t)
	addr := startRawServer(t, ServerOptions{})
	c, err := net.Dial("tcp", addr)
	check.NoErr(err)
	defer func() { _ = c.Close() }()
	check.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	check.NoErr(err)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	check.NoErr(err)
	check.Equal(resp.StatusCode, http.StatusBadRequest)
	_, err = io.Copy(io.Discard, resp.Body)
	check.NoErr(err)
	_, err = r.ReadByte()
	check.Equal(err, io.EOF) // one response
}
