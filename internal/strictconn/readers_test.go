package strictconn

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// unchecked matches code that opens connections or parses responses without this package.
var unchecked = regexp.MustCompile(`\bnet\.Dial|\bnet\.Dialer\b|\.DialContext\(|http\.(Get\(|Post\(|PostForm\(|Head\(|DefaultClient|DefaultTransport|Client\{|Transport\{|ReadResponse\()|standard\.NewDialer|netpoll\.NewDialer|\bclient\.NewClient\(`)

// checkedFiles match for a reason: they open their connections with Dial, or read no response.
var checkedFiles = map[string]string{
	"internal/strictconn/conn.go":       "Dial itself",
	"internal/upstreamclient/client.go": "Dial",
	"internal/upstreamclient/conn.go":   "parses what a Conn delivers",
	"internal/upstreamclient/probe.go":  "reads nothing",
	"internal/peer/client.go":           "responseDialer",
	"internal/peer/response_conn.go":    "Dial",
	"platform/cloud.go":                 "Dial",
}

// TestUncheckedReaders guards against code that reads responses from connections that don't check them.
func TestUncheckedReaders(t *testing.T) {
	const root = "../.."
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			name := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
			testOnly := strings.HasSuffix(name, "_test.go") || strings.HasPrefix(name, "platform/platformtest/") || strings.HasPrefix(name, "internal/responsetest/")
			if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || testOnly {
				return err
			}
			code, err := os.ReadFile(path)
			if found := unchecked.Find(code); found != nil && checkedFiles[name] == "" {
				t.Errorf("%s has %s: open the connection with strictconn.Dial, or with a client of internal/peer or internal/upstreamclient", name, found)
			}
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
}
