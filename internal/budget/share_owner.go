package budget

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShareOwner is the owner of one share in a view.
type ShareOwner struct {
	// Incarnation and Addr are empty if the view has no entry instance.
	Incarnation string
	Addr        string
	// Since is when this instance applied the record that made this owner the
	// owner. The takeover wait counts from then.
	Since time.Time

	score uint64
}

// replaceIfHigher makes e the owner if e has a higher score for the share.
func (s *ShareOwner) replaceIfHigher(shareHash uint64, e entry, now time.Time) {
	score := rendezvousScore(shareHash, e.hash)
	if s.Incarnation != "" && score <= s.score {
		return
	}
	*s = ShareOwner{Incarnation: e.incarnation, Addr: e.addr, Since: now, score: score}
}

// hashOfShare returns the key of a share for rendezvous hashing.
func hashOfShare(team string, share int) uint64 {
	return xxhash.Sum64String(team + "/" + strconv.Itoa(share))
}

// rendezvousScore combines the hashes of a share and an entry (to find the owner)
// or of a share and a holder (to rank the shares).
func rendezvousScore(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
