package streamorigin

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// record is what one instance writes of the streams that it began.
type record struct {
	// AtMS is when it was written, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Services are those that have, or had lately, upstreams of several versions.
	Services map[string]serviceRecord `json:"services"`
}

// serviceRecord is the part of a record about one service.
type serviceRecord struct {
	// SeveralMS is how long before AtMS the service last had several versions.
	SeveralMS int64 `json:"several_ms,omitempty"`
	// Began has the keys of streams by the version that began them, in hexadecimal.
	Began map[string][]string `json:"began,omitempty"`
	// Ambiguous has the keys of streams whose version may be another one than an earlier record
	// says.
	Ambiguous []string `json:"ambiguous,omitempty"`
}

func (k key) encode() string { return strconv.FormatUint(uint64(k), 16) }

func decodeKey(s string) (key, error) {
	k, err := strconv.ParseUint(s, 16, 64)
	return key(k), errors.Wrapf(err, "key %q of a stream", s)
}

// maxRecordAgeMS bounds the ages and times of a record, so that sums of them do not overflow.
const maxRecordAgeMS = 1 << 52

// decodeRecord decodes a record. A key that cannot be decoded makes the whole record invalid.
func decodeRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "decode record of streams")
	}
	if r.AtMS < 0 || r.AtMS > maxRecordAgeMS {
		return r, errors.Errorf("record of streams has the time %d ms", r.AtMS)
	}
	for name, s := range r.Services {
		if s.SeveralMS < 0 || s.SeveralMS > maxRecordAgeMS {
			return r, errors.Errorf("record of streams of service %q has the age %d ms", name, s.SeveralMS)
		}
		for _, keys := range s.Began {
			for _, k := range keys {
				if _, err := decodeKey(k); err != nil {
					return r, err
				}
			}
		}
		for _, k := range s.Ambiguous {
			if _, err := decodeKey(k); err != nil {
				return r, err
			}
		}
	}
	return r, nil
}
