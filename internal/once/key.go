package once

import (
	"time"

	"github.com/google/uuid"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// ParseKey returns the canonical form of an Idempotency-Key and the time that
// it carries. The key must be a version 7 UUID (RFC 9562).
func ParseKey(key string) (string, time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return "", time.Time{}, errkind.Wrap(errkind.InvalidRequest, "the Idempotency-Key header is not a UUID", err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", time.Time{}, errkind.New(errkind.InvalidRequest, "the Idempotency-Key header is not a version 7 UUID")
	}
	return id.String(), idTime(id), nil
}

// CheckKey refuses a key that is not of version 7 or lies in the future
// (invalid_request), and one older than the idempotency window (key_expired).
// An expired key may belong to a call whose record is no longer kept.
func CheckKey(key string, now time.Time, window, skew time.Duration) error {
	_, minted, err := ParseKey(key)
	if err != nil {
		return err
	}
	if minted.After(now.Add(skew)) {
		return errkind.New(errkind.InvalidRequest, "the time in the Idempotency-Key header is in the future")
	}
	if minted.Before(now.Add(-window)) {
		// An earlier call with this key may have run; only its record is gone.
		return errkind.New(errkind.KeyExpired, "the Idempotency-Key is older than results are kept").WithRanUnknown()
	}
	return nil
}
