package audit

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// pageRef is the position of a page in the audit stream, with the fields that
// decide when to renew it.
type pageRef struct {
	offset    backing.Offset
	through   backing.Offset
	writtenMS int64
}
