package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Serve answers each request with the response that respond returns for the number of the request,
// counted from 0 over all connections, and returns the address of the server. The server ends with
// the test.
func Serve(tb testing.TB, respond func(request int) (r Response, fields string)) string {
	requests := make(chan int, 1)
	requests <- 0
	return serve(tb, func(c net.Conn, req *http.Request) bool {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		n := <-requests
		requests <- n + 1
		resp, fields := respond(n)
		return resp.Write(c, fields)
	})
}

// ServeEarly answers each POST with r before it has read all of the body, which must be longer than
// UploadBytes, and each other request with an empty 200.
func ServeEarly(tb testing.TB, r Response, fields string) string {
	const read = 64 << 10
	return serve(tb, func(c net.Conn, req *http.Request) bool {
		if req.Method != http.MethodPost {
			return Response{raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}.Write(c, "")
		}
		if _, err := io.CopyN(io.Discard, req.Body, read); err != nil {
			return false
		}
		_ = r.Write(c, fields)
		return false
	})
}

// UploadBytes is the length of a body that the sockets can't hold, so that it is still being written
// while a response arrives.
const UploadBytes = 12 << 20

// serve answers the requests on each connection with answer, as long as it returns true.
func serve(tb testing.TB, answer func(net.Conn, *http.Request) bool) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil || !answer(c, req) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Write sends the response on c and ends c as the response says. It returns whether c is still open.
func (r Response) Write(c net.Conn, fields string) bool {
	if _, err := io.WriteString(c, r.Bytes(fields)); err != nil {
		return false
	}
	tcp, _ := c.(*net.TCPConn)
	switch r.End {
	case KeepOpen:
		return true
	case HalfClose:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case HalfCloseReset:
		_ = tcp.CloseWrite()
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	case Reset:
		_ = tcp.SetLinger(0)
	case Close:
	}
	_ = c.Close()
	return false
}

// resetDelay is how long after the end of a response HalfCloseReset resets the connection.
const resetDelay = 20 * time.Millisecond
