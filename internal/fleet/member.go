package fleet

// Role is the role of a member.
type Role string

// Roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is a process of this system, as it announced itself in the members topic.
type Member struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Addr is the address for calls of other members, IP:port.
	Addr string `json:"addr"`
	// CPUShare is the share of a core that the member's machine has; 0 is unknown.
	CPUShare float64 `json:"cpu_share,omitempty"`
	// UpstreamAddr is the address of the upstream that an agent runs beside, IP:port.
	UpstreamAddr string `json:"upstream_addr,omitempty"`
}
