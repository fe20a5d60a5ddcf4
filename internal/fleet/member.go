package fleet

// Role is the role of a process of the system.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is one process of the system as it announced itself.
type Member struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Addr is where other processes reach it, IP:port.
	Addr string `json:"addr"`
	// UpstreamAddr is the upstream beside an agent, IP:port.
	UpstreamAddr string `json:"upstream_addr,omitempty"`
}
