package fold

import (
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Member is a live incarnation of an instance.
type Member struct {
	record.MemberJoin
	// Joined is the offset of the join record.
	Joined platform.Offset `json:"joined"`
}

// Ref returns the member as a home reference.
func (m Member) Ref() record.InstanceRef {
	return record.InstanceRef{Instance: m.Instance, Incarnation: m.Incarnation}
}
