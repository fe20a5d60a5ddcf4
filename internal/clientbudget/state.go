package clientbudget

// state is what a connection is used for.
type state int32

const (
	// idle: no request is being received or handled.
	idle state = iota
	// receiving: a request has begun.
	receiving
	// waiting: a request waits for bytes of the budget and is not read.
	waiting
	// handling: a request was received and is handled.
	handling
	// writing: a response is being written.
	writing
	// ended: the connection is closed or about to be.
	ended
)
