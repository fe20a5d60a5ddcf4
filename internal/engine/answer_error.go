package engine

import (
	"bytes"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// ResponseError is an upstream's own refusal of a streamed request. It goes to
// the caller as it is, like the refusal of a request that is not streamed.
type ResponseError struct {
	Response Response
}

// Error implements error.
func (e *ResponseError) Error() string {
	return "the upstream refused the request with status " + strconv.Itoa(e.Response.Status)
}

// refusalOf returns the error that an answer to a streamed request without
// status 200 stands for.
func refusalOf(resp *protocol.Response) error {
	body, err := resp.BodyE()
	if err != nil {
		return errkind.Wrap(errkind.StreamCut, "the upstream's refusal ended early", err)
	}
	w := Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: bytes.Clone(body)}
	if refusal, ok := DecodeError(w); ok {
		return refusal
	}
	if w.Status >= consts.StatusBadRequest && w.Status < consts.StatusInternalServerError {
		return &ResponseError{Response: w}
	}
	return peer.DecodeError(w.Status, body)
}
