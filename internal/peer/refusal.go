package peer

import (
	"fmt"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/clientbudget"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// refusal is why a request is refused before its handler. It is an error, so that reads can fail with
// it.
type refusal struct {
	reason clientbudget.Reason
	err    *errkind.Error
}

// Error implements error.
func (r *refusal) Error() string { return string(r.reason) + ": " + r.err.Message }

func newRefusal(reason clientbudget.Reason, kind errkind.Kind, message string) *refusal {
	return &refusal{reason, errkind.New(kind, message)}
}

// refusalOf returns the refusal that stands for the status of an error response of hertz, whose own body
// is plain text.
func refusalOf(status int) *refusal {
	switch status {
	case consts.StatusRequestEntityTooLarge:
		return newRefusal(clientbudget.BodyTooLong, errkind.BodyTooLarge, "the body exceeds the size limit")
	case consts.StatusRequestHeaderFieldsTooLarge:
		return newRefusal(clientbudget.HeadTooLong, errkind.HeadersTooLarge, "the headers exceed the size limit")
	case consts.StatusRequestTimeout:
		return newRefusal(clientbudget.Timeout, errkind.InvalidRequest, "the request did not arrive in time")
	case consts.StatusNotFound:
		return newRefusal(clientbudget.Malformed, errkind.RouteNotFound, "there is no such path")
	case consts.StatusMethodNotAllowed:
		return newRefusal(clientbudget.Malformed, errkind.MethodNotAllowed, "the path does not take this method")
	default:
		return newRefusal(clientbudget.Malformed, errkind.InvalidRequest, "the request is not valid HTTP")
	}
}

// write writes the refusal as a response after which the connection is closed.
func (r *refusal) write(w network.Writer) error {
	var response protocol.Response
	setError(&response, r.err, "")
	response.Header.SetConnectionClose(true)
	if err := resp.Write(&response, w); err != nil {
		return err
	}
	return w.Flush()
}

// countRefused counts a connection that was refused or ended, and logs it. The logger drops most lines
// of a flood.
func countRefused(reason clientbudget.Reason, addr string) {
	Stats.GetOrCreateCounter(fmt.Sprintf("jacinthbend_connections_refused_total{reason=%q}", reason)).Inc()
	zap.L().Info("connection refused or ended", zap.String("reason", string(reason)), zap.String("client", addr))
}
