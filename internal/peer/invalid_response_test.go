package peer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

// TestInvalidResponse guards against responses of other processes that break the protocol and are
// taken for answers, or that say nothing of whether the call ran and are taken for "not run".
func TestInvalidResponse(t *testing.T) {
	check := is.New(t)
	c, err := NewClient(10 * time.Second)
	check.NoErr(err)
	responsetest.Check(t, "", func(ctx context.Context, addr string) error {
		var m message
		err := c.Call(ctx, addr, "/ask", message{}, &m)
		if err == nil && m.N != 1 {
			return errors.New("another response")
		}
		if err != nil && errkind.From(err).Ran == errkind.RanNo {
			t.Errorf("%v says that the call did not run", err)
		}
		return err
	})
}

// TestInvalidStreamedResponse is TestInvalidResponse for responses that are read while they arrive.
func TestInvalidStreamedResponse(t *testing.T) {
	check := is.New(t)
	c, err := NewHTTPClient(10*time.Second, true)
	check.NoErr(err)
	responsetest.Check(t, "", func(ctx context.Context, addr string) error {
		req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
		req.SetRequestURI("http://" + addr + "/ask")
		req.SetOptions(config.WithRequestTimeout(10 * time.Second))
		if err := c.Do(ctx, req, resp); err != nil {
			return err
		}
		body, err := io.ReadAll(resp.BodyStream())
		if closeErr := resp.CloseBodyStream(); err == nil {
			err = closeErr
		}
		if err == nil && (resp.StatusCode() != 200 || string(body) != responsetest.Body) {
			err = errors.New("another response")
		}
		return err
	})
}
