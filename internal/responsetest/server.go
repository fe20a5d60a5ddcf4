package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
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
	case Reset:
		_ = tcp.SetLinger(0)
	case Close:
	}
	_ = c.Close()
	return false
}
