package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/responsetest"
)

// TestEarlyRefusalOfUpload guards against an engine's refusal of a long request that is lost because the
// engine resets the connection after it, and against part of one that is taken for complete.
func TestEarlyRefusalOfUpload(t *testing.T) {
	upload := []byte(strings.Repeat("x", responsetest.UploadBytes))
	for _, r := range responsetest.Early {
		t.Run(r.Name, func(t *testing.T) {
			check := is.New(t)
			c, err := NewClient(responsetest.ServeEarly(t, r.Refusal(), ""))
			check.NoErr(err)
			for range 10 {
				resp, err := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: upload, Timeout: 5 * time.Second})
				check.Equal(err == nil, r.Complete)
				if r.Complete {
					check.Equal(resp.Status, 413)
					check.Equal(string(resp.Body), responsetest.Body)
				}
			}
		})
	}
}
