package spill

import "time"

// Request is what the decision needs to know of a request.
type Request struct {
	// Objective is the latency objective for the first token; 0 is unknown.
	Objective time.Duration
	// Bytes are the bytes of the request and of its expected answer.
	Bytes int
	// Weight is the part of the price of bytes that counts.
	Weight float64
}

const (
	// LinkDelay is what a round trip between data centres adds; one way takes 0.5 to 1.4 ms.
	// The time to send the bytes is left out: the entry instance's own link limits it, which
	// a request to an upstream here passes too.
	LinkDelay = 2 * time.Millisecond
	// pricePerKB is the time saved that is worth the transfer of 1 KB between data centres. A
	// typical request and answer (9 KB and 1 KB) then cost 4 ms with LinkDelay, as much as
	// the constant that applies without a weight.
	pricePerKB = 200 * time.Microsecond
)

// price is the time that leaving must save to be worth its bytes.
func (r Request) price() time.Duration {
	const kb = 1000
	return time.Duration(r.Weight * float64(r.Bytes) / kb * float64(pricePerKB))
}
