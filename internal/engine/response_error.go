package engine

import (
	"bytes"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// ResponseError is a 4xx response of the upstream to a streamed request. The
// caller receives it unchanged, as it does for a request that is not streamed.
type ResponseError struct {
	Response Response
}

// Error implements error.
func (e *ResponseError) Error() string {
	return "the upstream refused the request with status " + strconv.Itoa(e.Response.Status)
}

// streamError returns the error for a response to a streamed request whose status
// is not 200.
func streamError(resp *protocol.Response) error {
	body, err := resp.BodyE()
	if err != nil {
		return errkind.Wrap(errkind.StreamCut, "the upstream's error response ended early", err)
	}
	r := Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: bytes.Clone(body)}
	if kindErr, ok := DecodeError(r); ok {
		return kindErr
	}
	if r.Status >= consts.StatusBadRequest && r.Status < consts.StatusInternalServerError {
		return &ResponseError{Response: r}
	}
	return peer.DecodeError(r.Status, body)
}
