package controlstate

import (
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Member is a live incarnation of an instance.
type Member struct {
	record.MemberJoin
	// JoinOffset is the offset of the join record.
	JoinOffset backing.Offset `json:"joined"`
}

// Ref returns the reference that homes use for the member.
func (m Member) Ref() record.InstanceRef {
	return record.InstanceRef{Instance: m.Instance, Incarnation: m.Incarnation}
}
