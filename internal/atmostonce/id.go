package atmostonce

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// NewID returns a version 7 UUID for the time now with randomness from r. It
// does not call uuid.NewV7, which keeps process-wide clock state: with virtual
// time, its ids would depend on earlier test runs.
func NewID(now time.Time, r io.Reader) (string, error) {
	id, err := uuid.NewRandomFromReader(r)
	if err != nil {
		return "", errors.Wrap(err, "generate an id")
	}
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6] = 0x70 | id[6]&0x0f
	return id.String(), nil
}

// IDTime returns the time encoded in a version 7 UUID, to the millisecond.
func IDTime(id string) (time.Time, error) {
	u, err := uuid.Parse(id)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "parse an id")
	}
	return idTime(u), nil
}

func idTime(u uuid.UUID) time.Time {
	var ms [8]byte
	copy(ms[2:], u[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}
