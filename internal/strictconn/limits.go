package strictconn

import "github.com/pkg/errors"

// Limits of a response.
const (
	// maxHeadBytes limits the head of a response together with its interim responses, and the trailer.
	// Upstreams in use send less than 1 KiB.
	maxHeadBytes = 64 << 10
	// MaxLines limits the lines of a head or trailer, because net/http takes many times the bytes of
	// short lines while it parses them: 230 to 640 KiB for 40 KiB in lines of 6 bytes.
	MaxLines = 256
	// maxChunkLineBytes limits the line with the size of a chunk and its extensions.
	maxChunkLineBytes = 4 << 10
	// maxBodyBytes limits lengths and the sizes of chunks, so that no parser overflows.
	maxBodyBytes = 1 << 62
)

// Errors of heads and trailers that exceed the limits.
var (
	ErrTooLong      = errors.Errorf("more than %d bytes", maxHeadBytes)
	ErrTooManyLines = errors.Errorf("more than %d lines", MaxLines)
)
