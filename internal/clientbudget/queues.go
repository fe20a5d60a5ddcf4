package clientbudget

// Queues tells what the kernel holds for a connection. A process that stood still finds there what its
// clients did meanwhile.
type Queues interface {
	// Unread is how many bytes were received and not read.
	Unread() int
	// Unsent is how many bytes were written and not acknowledged.
	Unsent() int
}
