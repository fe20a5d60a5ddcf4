package managed

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestPromptCacheReports guards against prompt parts that another instance has had an engine
// read and that do not reach an entry instance, over real connections, and against parts of
// the time before the engine restarted.
func TestPromptCacheReports(t *testing.T) {
	c := newTestCluster(t)
	metrics := func() string {
		resp, err := http.Get("http://" + c.addr(2) + "/metrics")
		if err != nil {
			return ""
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	c.cache.Read("m1", "aa:500,bb:800,cc:10")
	c.eventually("two parts known", func() bool { return strings.Contains(metrics(), "\njacinthbend_prompt_parts 2\n") })
	c.cache.Read("m1", "dd:1200")
	c.eventually("an evicted part gone", func() bool { return strings.Contains(metrics(), "\njacinthbend_prompt_parts 2\n") })
	c.cache.Restart()
	c.eventually("no parts known", func() bool { return strings.Contains(metrics(), "\njacinthbend_prompt_parts 0\n") })
}
