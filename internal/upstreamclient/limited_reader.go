package upstreamclient

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// errHeadTooLong is the error of a response head that exceeds maxHeadBytes.
var errHeadTooLong = errors.Errorf("the response head exceeds %d bytes", maxHeadBytes)

// errTooManyHeadLines is the error of a response head that exceeds maxHeadLines.
var errTooManyHeadLines = errors.Errorf("the response head exceeds %d lines", maxHeadLines)

// limitedReader fails once it has read more bytes or lines than its limits allow.
type limitedReader struct {
	r                         io.Reader
	limited                   bool
	remaining, remainingLines int
}

// limitHead allows one further response head.
func (l *limitedReader) limitHead() {
	l.limited, l.remaining, l.remainingLines = true, maxHeadBytes, maxHeadLines
}

func (l *limitedReader) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limited && l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if l.limited && l.remainingLines <= 0 {
		return 0, errTooManyHeadLines
	}
	n, err := l.r.Read(p)
	if l.limited {
		l.remaining -= n
		l.remainingLines -= bytes.Count(p[:n], []byte{'\n'})
	}
	return n, err
}
