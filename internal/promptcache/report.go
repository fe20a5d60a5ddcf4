package promptcache

import (
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/pkg/errors"
)

// MaxParts is the largest number of parts that are reported of one engine.
const MaxParts = 512

// A report is text: fullMark if it is a full list and not a list of changes, and the base64
// encoding of the size of the smallest part that is surely listed, followed by entries. An
// entry is the size of a part, 0 if it is no longer cached, and its hash. With 9 bytes an
// entry takes 12 characters.
const (
	fullMark   = "*"
	entryBytes = 9
	// entryText and reportText are the characters of an entry, and of a report without entries
	// together with its JSON field.
	entryText  = entryBytes * 4 / 3
	reportText = len(`,"prompt_parts":""`) + len(fullMark) + 2
	// maxEntries bounds a report: a caller may miss that each part was replaced.
	maxEntries = 2 * MaxParts
)

// entry is a part as of a report.
type entry struct {
	hash uint64
	size size
}

func encodeReport(full bool, floor size, entries []entry) string {
	raw := make([]byte, 0, 1+entryBytes*len(entries))
	raw = append(raw, byte(floor))
	for _, e := range entries {
		raw = binary.BigEndian.AppendUint64(append(raw, byte(e.size)), e.hash)
	}
	text := base64.RawURLEncoding.EncodeToString(raw)
	if full {
		return fullMark + text
	}
	return text
}

func decodeReport(report string) (full bool, floor size, entries []entry, err error) {
	text, full := strings.CutPrefix(report, fullMark)
	if len(text) > reportText+maxEntries*entryText {
		return false, 0, nil, errors.Errorf("report of prompt parts has %d characters", len(text))
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return false, 0, nil, errors.Wrap(err, "decode report of prompt parts")
	}
	if len(raw)%entryBytes != 1 {
		return false, 0, nil, errors.Errorf("report of prompt parts has %d bytes", len(raw))
	}
	floor, raw = size(raw[0]), raw[1:]
	entries = make([]entry, 0, len(raw)/entryBytes)
	for ; len(raw) > 0; raw = raw[entryBytes:] {
		entries = append(entries, entry{hash: binary.BigEndian.Uint64(raw[1:entryBytes]), size: size(raw[0])})
	}
	return full, floor, entries, nil
}
