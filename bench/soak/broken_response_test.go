package soak

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/strictconn"
)

// TestBreakResponse guards against ways of breaking a response that leave it valid.
func TestBreakResponse(t *testing.T) {
	for way := range breakWays {
		for _, whole := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"} {
			check := is.New(t)
			broken, _ := breakResponse([]byte(whole), way)
			server, client := net.Pipe()
			go func() {
				_, _ = server.Write(broken)
				_ = server.Close()
			}()
			_, err := io.ReadAll(strictconn.New(client, "server"))
			check.True(err != nil)
			_ = client.Close()
		}
	}
	check := is.New(t)
	unknown := "event: part of a response"
	same, reset := breakResponse([]byte(unknown), 0)
	check.Equal(string(same), unknown)
	check.True(!reset)
}
