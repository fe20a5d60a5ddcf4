package upstreamclient

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

// TestInvalidResponse guards against a response that breaks the protocol and is taken for one, and
// against sound responses that are refused.
func TestInvalidResponse(t *testing.T) {
	c := newTestClient()
	responsetest.Check(t, idHeader+": r\r\n", func(ctx context.Context, addr string) error {
		resp, err := c.Do(ctx, addr, testRequest("r"))
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Close(err == nil)
		if err == nil && (resp.Status != 200 || string(body) != responsetest.Body) {
			err = errors.New("another response")
		}
		return err
	})
}
