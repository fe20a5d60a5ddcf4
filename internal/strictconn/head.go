package strictconn

import "net/http"

// head checks the head of a response byte by byte.
type head struct {
	line     statusLine
	lineDone bool
	fields   fieldLines
}

// reset prepares for the next head. The memory for values is kept.
func (h *head) reset() {
	value := h.fields.framing.value
	*h = head{fields: fieldLines{part: Header, framing: framing{value: value}}}
}

// add checks the next byte and reports whether it ends the head.
func (h *head) add(b byte) (done bool, err error) {
	if !h.lineDone {
		h.lineDone, err = h.line.add(b)
		return false, err
	}
	if done, err = h.fields.add(b); !done || err != nil {
		return false, err
	}
	return true, h.fields.framing.check(&h.line)
}

// body returns the body that follows the head of the response to a HEAD request or to another.
func (h *head) body(toHead bool) body {
	f := &h.fields.framing
	switch {
	case toHead || h.line.status == http.StatusNoContent || h.line.status == http.StatusNotModified:
		return body{kind: sized}
	case f.chunked:
		return body{kind: inChunks}
	case f.hasLength:
		return body{kind: sized, left: f.length}
	default:
		return body{kind: untilEnd}
	}
}
