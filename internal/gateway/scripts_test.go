package gateway_test

import (
	"fmt"
	"net"
	"net/http"
)

// respond answers with the status, the body and the upstream's stamp.
func respond(status int, body string, header ...string) script {
	return func(c net.Conn, req receivedRequest) bool {
		_, err := c.Write([]byte(responseHead(status, req.header.Get(requestIDHeader), header...) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
		return err == nil
	}
}

func responseHead(status int, id string, header ...string) string {
	s := fmt.Sprintf("HTTP/1.1 %d %s\r\nJacinthbend-Server-Stamp: st\r\nJacinthbend-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), id)
	for _, h := range header {
		s += h + "\r\n"
	}
	return s
}

// notExecuted answers that the upstream did not run the request.
func notExecuted(status int) script {
	return func(c net.Conn, _ receivedRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nJacinthbend-Not-Executed: 1\r\nJacinthbend-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", status)
		return err == nil
	}
}

// crash runs s and ends the upstream: its connection, and new ones are refused.
func crash(s script) script {
	return func(c net.Conn, req receivedRequest) bool {
		_ = req.listener.Close()
		_ = s(c, req)
		return false
	}
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(net.Conn, receivedRequest) bool { return false }

// rawResponse writes s and closes the connection.
func rawResponse(s string) script {
	return func(c net.Conn, _ receivedRequest) bool {
		_, _ = c.Write([]byte(s))
		return false
	}
}

// chunkedStream answers with a chunked event stream. If end is false it closes the
// connection before the last chunk.
func chunkedStream(end bool, parts ...string) script {
	return func(c net.Conn, _ receivedRequest) bool {
		s := responseHead(200, "r1", "Content-Type: text/event-stream", "Jacinthbend-Weights-Version: 4", "Transfer-Encoding: chunked") + "\r\n"
		for _, p := range parts {
			s += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if end {
			s += "0\r\n\r\n"
		}
		_, err := c.Write([]byte(s))
		return end && err == nil
	}
}
