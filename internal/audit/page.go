package audit

import (
	"encoding/json"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/pkg/errors"
)

// Stream is the log stream that keeps the audit trail for longer than the log
// retains the control stream.
const Stream = "audit"

// Page is one record of the audit stream. It has the entries for the control
// records in the range (After, Through]. Pages are appended again before they
// expire, so the stream may contain several copies of an entry. Copies of one
// entry have the same Entry.Offset.
type Page struct {
	After   backing.Offset `json:"after"`
	Through backing.Offset `json:"through"`
	// WrittenMS is the wall-clock time of the writer in milliseconds. It decides when
	// the page is appended again.
	WrittenMS int64   `json:"written_ms"`
	Entries   []Entry `json:"entries"`
	// Missing is true if control records in the range expired before they were put
	// into a page, so that entries may be missing.
	Missing bool `json:"missing,omitempty"`
}

func (p Page) encode() (json.RawMessage, error) {
	data, err := json.Marshal(p)
	return data, errors.Wrapf(err, "encode audit page through %d", p.Through)
}

func decodePage(data json.RawMessage) (Page, error) {
	var p Page
	err := json.Unmarshal(data, &p)
	return p, errors.Wrap(err, "decode audit page")
}

// withoutBefore returns a copy of p without the entries from before the given time.
func (p Page) withoutBefore(beforeMS int64) Page {
	var kept []Entry
	for _, e := range p.Entries {
		if e.UnixMS >= beforeMS {
			kept = append(kept, e)
		}
	}
	p.Entries = kept
	return p
}
