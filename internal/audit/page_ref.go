package audit

import (
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// pageRef is the position of a page in the audit stream, with the fields that
// decide when to renew it.
type pageRef struct {
	offset    platform.Offset
	through   platform.Offset
	writtenMS int64
}
