package record

// Role says whether an instance takes callers' requests (entry) or runs them at
// its upstream (agent).
type Role string

// Roles of an instance.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// MemberJoin adds an incarnation of an instance to the fleet. It ends every
// earlier incarnation with the same instance id.
type MemberJoin struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Role        Role   `json:"role"`
	DataCentre  string `json:"data_centre"`
	// PeerAddr is the IP:port at which other instances reach this one.
	PeerAddr string `json:"peer_addr"`
	// Pool is the pool of the agent's upstream. It is empty for entry instances.
	Pool string `json:"pool,omitempty"`
}

// Kind implements Body.
func (MemberJoin) Kind() Kind { return KindMemberJoin }

// GoneReason says why an incarnation ended.
type GoneReason string

// Reasons for MemberGone.
const (
	GoneDrained GoneReason = "drained"
	// GoneSilent means that the instance did not answer for too long.
	GoneSilent GoneReason = "silent"
	// GoneRemoved means that the instance did not answer for too long and is no
	// longer on the platform's instance list.
	GoneRemoved GoneReason = "removed"
)

// MemberGone ends an incarnation. An instance that reads a MemberGone for itself
// stops its work and joins again as a new incarnation.
type MemberGone struct {
	Instance    string     `json:"instance"`
	Incarnation string     `json:"incarnation"`
	Reason      GoneReason `json:"reason"`
}

// Kind implements Body.
func (MemberGone) Kind() Kind { return KindMemberGone }
