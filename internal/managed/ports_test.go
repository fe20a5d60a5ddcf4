package managed

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// freePorts returns the first of n consecutive free ports below the ephemeral
// port range.
func freePorts(t *testing.T, n int) int {
	for base := 18000 + int(time.Now().UnixNano()%7000); base < 30000; base += n {
		var open []net.Listener
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				break
			}
			open = append(open, ln)
		}
		for _, ln := range open {
			_ = ln.Close()
		}
		if len(open) == n {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}
