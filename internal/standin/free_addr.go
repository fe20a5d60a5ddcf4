package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// FreeAddr takes ports below the range that the kernel uses for outgoing
// connections (32768 and up on Linux). An outgoing connection could occupy a port
// of that range before the caller listens on it.
const (
	firstPort = 12000
	portCount = 20000
	// portStride separates the first ports of processes with consecutive ids, as
	// several test processes call FreeAddr at the same time.
	portStride = 397
)

var nextPort atomic.Uint32

// FreeAddr returns a loopback address, IP:port, on which nothing listens.
func FreeAddr() (string, error) {
	start := uint32(os.Getpid()) * portStride
	for range portCount {
		port := firstPort + (start+nextPort.Add(1))%portCount
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, ln.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount-1)
}
