package clientbudget

import (
	"math"
	"syscall"

	"github.com/pkg/errors"
)

// Shares of the memory of the machine. One third is for what the process itself needs, one for
// requests and responses, and one for bytes that the kernel holds for connections.
const (
	heldShare   = 3
	kernelShare = 3
	// purposeShare is the share of the memory that either requests or responses may take.
	purposeShare = 4
)

const (
	// ReceiveBufferBytes is the receive buffer that a connection asks the kernel for. Without it
	// the kernel lets the buffer grow to several MB.
	ReceiveBufferBytes = 64 << 10
	// SendBufferBytes is the send buffer that a connection asks for.
	SendBufferBytes = 64 << 10
	// kernelBytesPerConn is what the kernel may hold for a connection that is not read: it doubles
	// the size asked for, to account for its own overhead.
	kernelBytesPerConn = 2 * ReceiveBufferBytes
)

const (
	// openFilesShare is the share of the open files that clients may take. The rest is reserved for
	// connections to upstreams, the store and agents.
	openFilesShare = 2
	// defaultMemoryMB and defaultOpenFiles are used where the settings or the system give no limit. They
	// are above what the stated machines have.
	defaultMemoryMB  = 1024
	defaultOpenFiles = 10240
)

// Limits are the limits of a budget.
type Limits struct {
	// HeldBytes limits requests and responses together, RequestBytes and ResponseBytes each of
	// them.
	HeldBytes, RequestBytes, ResponseBytes int64
	// Conns limits the connections of all listeners.
	Conns int
}

// Unlimited are the limits of a listener without a budget: each connection has only its own limits.
var Unlimited = Limits{HeldBytes: math.MaxInt64 / 2, RequestBytes: math.MaxInt64 / 2, ResponseBytes: math.MaxInt64 / 2, Conns: math.MaxInt32}

// LimitsOf returns the limits for a machine with the given memory in MB and limit of open files. 0
// stands for the defaults.
func LimitsOf(memoryMB, openFiles int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if openFiles <= 0 {
		openFiles = defaultOpenFiles
	}
	memory := int64(memoryMB) << 20
	return Limits{
		HeldBytes: memory / heldShare, RequestBytes: memory / purposeShare, ResponseBytes: memory / purposeShare,
		Conns: int(min(int64(openFiles/openFilesShare), memory/kernelShare/kernelBytesPerConn)),
	}
}

// OpenFiles returns the limit of open files of this process.
func OpenFiles() (int, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	const unlimited = 1 << 20
	return int(min(limit.Cur, unlimited)), errors.Wrap(err, "read the limit of open files")
}
