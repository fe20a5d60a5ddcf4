package atmostonce

import (
	"time"

	"github.com/google/uuid"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// ParseKey returns the canonical form of an Idempotency-Key and the time
// encoded in it. The key must be a version 7 UUID (RFC 9562).
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

// CheckKey returns invalid_request for a key that is not a version 7 UUID or
// whose time is in the future, and key_expired for a key older than the
// idempotency window. The record of a call with an expired key may already be
// deleted.
func CheckKey(key string, now time.Time, window, skew time.Duration) error {
	_, created, err := ParseKey(key)
	if err != nil {
		return err
	}
	if created.After(now.Add(skew)) {
		return errkind.New(errkind.InvalidRequest, "the time in the Idempotency-Key header is in the future")
	}
	if created.Before(now.Add(-window)) {
		// An earlier call with this key may have run and its record been deleted.
		return errkind.New(errkind.KeyExpired, "the Idempotency-Key is older than the idempotency window").WithRanUnknown()
	}
	return nil
}
