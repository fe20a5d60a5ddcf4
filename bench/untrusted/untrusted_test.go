package untrusted

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

const chunked = "Transfer-Encoding: chunked\r\n"

// TestHeadsOverLimit guards against heads far over the limit that are kept in memory.
func TestHeadsOverLimit(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p))
		repeat(c, "X: "+strings.Repeat("x", 1000)+"\r\n", 2<<20)
	})
}

// TestHeadsInSmallParts guards against heads in many small segments, each of which costs a copy of
// all that came before.
func TestHeadsInSmallParts(t *testing.T) {
	const part, parts, pause = 100, 1200, 200 * time.Microsecond
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p)+"X: ")
		for range parts {
			if !write(c, strings.Repeat("x", part)) {
				return
			}
			time.Sleep(pause)
		}
	})
}

// TestEmptyLines guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, _ *port, _ int) { repeat(c, "\r\n", 8<<20) })
}

// TestHugeChunks guards against many chunked bodies at once that stop just short of their end.
func TestHugeChunks(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		const size = maxBody - 2
		write(c, head("POST", p)+chunked+fmt.Sprintf("\r\n%x\r\n", size))
		write(c, strings.Repeat("b", size-1))
	})
}

// TestOneByteChunks guards against bodies in chunks of one byte, which arrive with six times their
// size.
func TestOneByteChunks(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p)+chunked+"\r\n")
		repeat(c, "1\r\nb\r\n", 6*512<<10)
	})
}

// TestChunkLines guards against a line with the size of a chunk that does not end.
func TestChunkLines(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p)+chunked+"\r\n5")
		repeat(c, " ", 8<<20)
	})
}

// TestChunkExtensions guards against an extension of a chunk that does not end.
func TestChunkExtensions(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p)+chunked+"\r\n5;x=")
		repeat(c, "x", 8<<20)
	})
}

// TestTrailers guards against trailers without end.
func TestTrailers(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p)+chunked+"\r\n0\r\n")
		repeat(c, "X: y\r\n", 8<<20)
	})
}

// TestAnnouncedBodiesOverLimit guards against bodies whose announced length is over the limit.
func TestAnnouncedBodiesOverLimit(t *testing.T) {
	const size = 3 * maxBody
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p, fmt.Sprintf("Content-Length: %d", size))+"\r\n")
		repeat(c, "b", size-64<<10)
	})
}

// TestSentBodiesOverLimit guards against chunked bodies that grow far over the limit.
func TestSentBodiesOverLimit(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p)+chunked+"\r\n")
		repeat(c, "10000\r\n"+strings.Repeat("b", 1<<16)+"\r\n", 8*maxBody)
	})
}

// TestBodiesOneByteShort guards against bodies of which the last byte never comes.
func TestBodiesOneByteShort(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p, fmt.Sprintf("Content-Length: %d", maxBody))+"\r\n")
		write(c, strings.Repeat("b", maxBody-1))
	})
}

// TestSlowReaders guards against large requests and answers that are kept while their callers do
// not read. Only callers get large answers.
func TestSlowReaders(t *testing.T) {
	run(t, []string{callers}, crowd, func(c io.Writer, p *port, _ int) {
		write(c, head("POST", p, fmt.Sprintf("Content-Length: %d", maxBody))+"\r\n")
		write(c, strings.Repeat("b", maxBody))
	})
}

// TestConnectionsLeft guards against connections that are opened, some of them for a part of a
// head, and left.
func TestConnectionsLeft(t *testing.T) {
	run(t, allPorts, openFileLimit+100, func(c io.Writer, p *port, index int) {
		if index%2 == 0 {
			write(c, head("POST", p))
		}
	})
}

// TestPipelinedRequests guards against requests that are sent one after the other without reading
// the answers.
func TestPipelinedRequests(t *testing.T) {
	run(t, allPorts, crowd, func(c io.Writer, p *port, _ int) {
		repeat(c, head("POST", p, "Content-Length: 2")+"\r\n{}", 4<<20)
	})
}
