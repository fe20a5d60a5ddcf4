package peer

import "time"

// Limits of one connection.
const (
	// headLimit is the longest time from the first byte of a request to the end of its head. Ordinary
	// clients need at most 3 s.
	headLimit = 10 * time.Second
	// maxPieceBytes is how much of a chunk is read at once.
	maxPieceBytes = 32 << 10
	// maxChunkLineBytes limits the bytes of one chunk line after its digits.
	maxChunkLineBytes = 64
	// maxChunkLinesBytes limits the line ends of all chunk lines of a body, two bytes each, since
	// hertz reads them one by one. A body of 4 MiB in chunks of 16 bytes has as much.
	maxChunkLinesBytes = 512 << 10
	// unchargedInputBytes is the part of an input buffer that counts as part of the connection.
	unchargedInputBytes = secondInputBytes
	// headCopies is how often hertz and the gateway copy a head.
	headCopies = 3
	// drainBytes and drainTime limit what is read and thrown away after a refusal. Closing a socket
	// with unread bytes resets the connection, and the client may lose the response.
	drainBytes = 32 << 20
	drainTime  = 2 * time.Second
)

// connLimits are the limits of the connections of one listener.
type connLimits struct {
	// maxHead and maxBody limit the sizes of a head and of a body, in bytes.
	maxHead, maxBody int
	// readLimit is the longest time from the first byte of a request to its last; 0 is no limit.
	readLimit time.Duration
	// writeTimeout is the longest time of one write; 0 is no limit.
	writeTimeout time.Duration
	// requestIDHeader names the header with the id of a request; it may be empty.
	requestIDHeader string
}
