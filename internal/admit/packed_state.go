package admit

const (
	countBits = 20
	countMask = 1<<countBits - 1
	epochMask = 1<<(64-2*countBits-1) - 1
)

// packedState is the state of a Limiter in one 64-bit value, so that one
// compare-and-swap updates it and a drain, a crash and an admission cannot
// interleave: draining (1 bit), epoch (23 bits), limit (20 bits) and requests in
// flight (20 bits). The epoch grows whenever the limit returns to its start value.
type packedState uint64

func (s packedState) inFlight() int  { return int(s & countMask) }
func (s packedState) limit() int     { return int(s >> countBits & countMask) }
func (s packedState) epoch() uint64  { return uint64(s>>(2*countBits)) & epochMask }
func (s packedState) draining() bool { return s>>63 == 1 }

func pack(draining bool, epoch uint64, limit, inFlight int) packedState {
	s := packedState(epoch&epochMask)<<(2*countBits) | packedState(min(limit, countMask))<<countBits | packedState(min(inFlight, countMask))
	if draining {
		s |= 1 << 63
	}
	return s
}
