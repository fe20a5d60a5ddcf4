package strictconn

import (
	"net/http"
	"strconv"
	"strings"
)

// framingField is a field that says where a body ends.
type framingField int

const (
	otherField framingField = iota
	lengthField
	codingField
)

// maxFramingValue limits the value of a framing field, blanks included.
const maxFramingValue = 64

// framing is what the fields of a head say about the end of the body.
type framing struct {
	// length is the stated length, if hasLength is set.
	length             int64
	hasLength, chunked bool

	// current is the field whose value is being read.
	current framingField
	value   []byte
}

// begin begins the value of the field with the given name in lower case.
func (f *framing) begin(name string, part Part) error {
	f.current, f.value = otherField, f.value[:0]
	switch name {
	case "content-length":
		f.current = lengthField
	case "transfer-encoding":
		f.current = codingField
	default:
		return nil
	}
	if part == Trailer {
		return invalid(Trailer, "field %s in the trailer", name)
	}
	return nil
}

func (f *framing) addToValue(b byte) {
	if f.current != otherField && len(f.value) <= maxFramingValue {
		f.value = append(f.value, b)
	}
}

// end takes the value of the field.
func (f *framing) end() error {
	value := strings.Trim(string(f.value), " \t")
	switch f.current {
	case lengthField:
		length, err := strconv.ParseUint(value, 10, 64)
		if err != nil || len(f.value) > maxFramingValue || length > maxBodyBytes {
			return invalid(Framing, "Content-Length %q", value)
		}
		if f.hasLength && f.length != int64(length) {
			return invalid(Framing, "two lengths, %d and %d", f.length, length)
		}
		f.length, f.hasLength = int64(length), true
	case codingField:
		if f.chunked || len(f.value) > maxFramingValue || !strings.EqualFold(value, "chunked") {
			return invalid(Framing, "Transfer-Encoding other than one \"chunked\": %q", value)
		}
		f.chunked = true
	case otherField:
	}
	return nil
}

// check checks the fields together with the status line.
func (f *framing) check(l *statusLine) error {
	switch {
	case f.chunked && f.hasLength:
		return invalid(Framing, "a length and chunks")
	case f.chunked && l.minor == 0:
		return invalid(Framing, "chunks in HTTP/1.0")
	case (isInterim(l.status) || l.status == http.StatusNoContent) && (f.chunked || f.length > 0):
		return invalid(Framing, "a body after status %d", l.status)
	case l.status == http.StatusSwitchingProtocols:
		return invalid(StatusLine, "status %d, but no upgrade was requested", l.status)
	}
	return nil
}

func isInterim(status int) bool { return status < http.StatusOK }
