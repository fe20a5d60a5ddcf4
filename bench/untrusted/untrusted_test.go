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
func TestHeadsOverLimit(t *testing.T) { run(t, allPorts, crowd, sendHeadsOverLimit) }

func sendHeadsOverLimit(c io.Writer, p *port, _ int) {
	write(c, head("POST", p))
	repeat(c, "X: "+strings.Repeat("x", 1000)+"\r\n", 2<<20)
}

// TestHeadsInSmallParts guards against heads in many small segments, each of which costs a copy of
// all that came before.
func TestHeadsInSmallParts(t *testing.T) { run(t, allPorts, crowd, sendHeadsInSmallParts) }

func sendHeadsInSmallParts(c io.Writer, p *port, _ int) {
	const part, parts, pause = 100, 1200, 200 * time.Microsecond
	write(c, head("POST", p)+"X: ")
	for range parts {
		if !write(c, strings.Repeat("x", part)) {
			return
		}
		time.Sleep(pause)
	}
}

// TestEmptyLines guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) { run(t, allPorts, crowd, sendEmptyLines) }

func sendEmptyLines(c io.Writer, _ *port, _ int) {
	repeat(c, "\r\n", 8<<20)
}

// TestHugeChunks guards against many chunked bodies at once that stop just short of their end.
func TestHugeChunks(t *testing.T) { run(t, allPorts, crowd, sendHugeChunks) }

func sendHugeChunks(c io.Writer, p *port, _ int) {
	const size = maxBody - 2
	write(c, head("POST", p)+chunked+fmt.Sprintf("\r\n%x\r\n", size))
	write(c, strings.Repeat("b", size-1))
}

// TestOneByteChunks guards against bodies in chunks of one byte, which arrive with six times their
// size.
func TestOneByteChunks(t *testing.T) { run(t, allPorts, crowd, sendOneByteChunks) }

func sendOneByteChunks(c io.Writer, p *port, _ int) {
	write(c, head("POST", p)+chunked+"\r\n")
	repeat(c, "1\r\nb\r\n", 6*512<<10)
}

// TestChunkLines guards against a line with the size of a chunk that does not end.
func TestChunkLines(t *testing.T) { run(t, allPorts, crowd, sendChunkLines) }

func sendChunkLines(c io.Writer, p *port, _ int) {
	write(c, head("POST", p)+chunked+"\r\n5")
	repeat(c, " ", 8<<20)
}

// TestChunkExtensions guards against an extension of a chunk that does not end.
func TestChunkExtensions(t *testing.T) { run(t, allPorts, crowd, sendChunkExtensions) }

func sendChunkExtensions(c io.Writer, p *port, _ int) {
	write(c, head("POST", p)+chunked+"\r\n5;x=")
	repeat(c, "x", 8<<20)
}

// TestTrailers guards against trailers without end.
func TestTrailers(t *testing.T) { run(t, allPorts, crowd, sendTrailers) }

func sendTrailers(c io.Writer, p *port, _ int) {
	write(c, head("POST", p)+chunked+"\r\n0\r\n")
	repeat(c, "X: y\r\n", 8<<20)
}

// TestAnnouncedBodiesOverLimit guards against bodies whose announced length is over the limit.
func TestAnnouncedBodiesOverLimit(t *testing.T) {
	run(t, allPorts, crowd, sendAnnouncedBodiesOverLimit)
}

func sendAnnouncedBodiesOverLimit(c io.Writer, p *port, _ int) {
	const size = 3 * maxBody
	write(c, head("POST", p, fmt.Sprintf("Content-Length: %d", size))+"\r\n")
	repeat(c, "b", size-64<<10)
}

// TestSentBodiesOverLimit guards against chunked bodies that grow far over the limit.
func TestSentBodiesOverLimit(t *testing.T) { run(t, allPorts, crowd, sendSentBodiesOverLimit) }

func sendSentBodiesOverLimit(c io.Writer, p *port, _ int) {
	write(c, head("POST", p)+chunked+"\r\n")
	repeat(c, "10000\r\n"+strings.Repeat("b", 1<<16)+"\r\n", 8*maxBody)
}

// TestBodiesOneByteShort guards against bodies of which the last byte never comes.
func TestBodiesOneByteShort(t *testing.T) { run(t, allPorts, crowd, sendBodiesOneByteShort) }

func sendBodiesOneByteShort(c io.Writer, p *port, _ int) {
	write(c, head("POST", p, fmt.Sprintf("Content-Length: %d", maxBody))+"\r\n")
	write(c, strings.Repeat("b", maxBody-1))
}

// TestSlowReaders guards against large requests and answers that are kept while their callers do
// not read. Only callers get large answers.
func TestSlowReaders(t *testing.T) { run(t, []string{callers}, crowd, sendSlowReaders) }

func sendSlowReaders(c io.Writer, p *port, _ int) {
	write(c, head("POST", p, fmt.Sprintf("Content-Length: %d", maxBody))+"\r\n")
	write(c, strings.Repeat("b", maxBody))
}

// TestConnectionsLeft guards against connections that are opened, some of them for a part of a
// head, and left.
func TestConnectionsLeft(t *testing.T) { run(t, allPorts, openFileLimit+100, sendConnectionsLeft) }

func sendConnectionsLeft(c io.Writer, p *port, index int) {
	if index%2 == 0 {
		write(c, head("POST", p))
	}
}

// TestPipelinedRequests guards against requests that are sent one after the other without reading
// the answers.
func TestPipelinedRequests(t *testing.T) { run(t, allPorts, crowd, sendPipelinedRequests) }

func sendPipelinedRequests(c io.Writer, p *port, _ int) {
	repeat(c, head("POST", p, "Content-Length: 2")+"\r\n{}", 4<<20)
}

// TestMixedCrowd guards against kinds of traffic that each stay within the limits and together do not.
func TestMixedCrowd(t *testing.T) {
	kinds := []client{
		sendHeadsOverLimit, sendHeadsInSmallParts, sendEmptyLines, sendHugeChunks, sendOneByteChunks,
		sendChunkLines, sendChunkExtensions, sendTrailers, sendAnnouncedBodiesOverLimit,
		sendSentBodiesOverLimit, sendBodiesOneByteShort, sendSlowReaders, sendConnectionsLeft, sendPipelinedRequests,
	}
	const each = 8
	run(t, allPorts, each*len(kinds), func(c io.Writer, p *port, index int) { kinds[index%len(kinds)](c, p, index) })
}
