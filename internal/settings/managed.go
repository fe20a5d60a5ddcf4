package settings

import (
	"fmt"
	"time"
)

// Managed holds the settings of an entry instance or agent that the platform starts.
// The platform assigns its addresses and stores all state in its metadata store.
// Only an entry instance has CallerAddr and ReadyAddr; only an agent has
// UpstreamAddr and Service.
type Managed struct {
	// Instance is the platform's id of this machine.
	Instance string `json:"instance"`
	// DataCentre is the data centre that this machine is in.
	DataCentre string `json:"data_centre"`
	// BindIP is the IP address of this machine.
	BindIP string `json:"bind_ip"`
	// PortRange are the first and the last port for connections between processes.
	PortRange [2]int `json:"port_range"`
	// CallerAddr is where callers reach an entry instance, IP:port.
	CallerAddr string `json:"caller_addr,omitempty"`
	// ReadyAddr is where the platform checks whether an entry instance is ready, IP:port.
	ReadyAddr string `json:"ready_addr,omitempty"`
	// UpstreamAddr is the engine on the agent's machine, IP:port.
	UpstreamAddr string `json:"upstream_addr,omitempty"`
	// Service is the service that this engine belongs to.
	Service string `json:"service,omitempty"`
	// StoreAddr is the platform's metadata store, IP:port.
	StoreAddr string `json:"store_addr"`
	// FirstStart is set when Jacinthbend starts for the first time on this platform.
	FirstStart bool `json:"first_start"`
	// MemoryMB is the memory limit above which the platform kills the process, in MB.
	MemoryMB int `json:"memory_mb"`
	// CPUShare is the share of a processor core that the process may use, 0 if unknown.
	// Instances with more of it do more of the work that one does for others.
	CPUShare float64 `json:"cpu_share,omitempty"`
	// SpillWeight is the part of the price of bytes between data centres that counts when an
	// entry instance decides whether a request leaves its data centre. With 0, upstreams of other
	// data centres are chosen as if they were 4 ms slower.
	SpillWeight float64 `json:"spill_weight,omitempty"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string        `json:"log_level,omitempty"`
	Bounds   ManagedBounds `json:"bounds"`
	// Duties are the calls to the platform that are the duty of one entry instance at a time.
	Duties Duties `json:"duties,omitzero"`
	// DutiesTemplate has what a template of the platform gives of them; it takes precedence.
	DutiesTemplate DutiesTemplate `json:"duties_template,omitzero"`
}

// LoadManaged reads the file at path, applies override and validates the result.
func LoadManaged(path string, override func(*Managed)) (Managed, error) {
	var s Managed
	err := load(path, &s, override)
	return s, err
}

// Validate returns all problems of s as Problems, or nil.
func (s *Managed) Validate() error {
	c := &validator{}
	c.required("instance", s.Instance)
	c.required("data_centre", s.DataCentre)
	c.address("bind_ip", s.PeerAddr())
	c.address("store_addr", s.StoreAddr)
	for field, addr := range map[string]string{"caller_addr": s.CallerAddr, "ready_addr": s.ReadyAddr, "upstream_addr": s.UpstreamAddr} {
		if addr != "" {
			c.address(field, addr)
		}
	}
	const highestPort = 65535
	c.within("port_range[0]", s.PortRange[0], 1, highestPort)
	c.within("port_range[1]", s.PortRange[1], s.PortRange[0]+1, highestPort)
	for field, v := range map[string]float64{
		"bounds.grace_s": s.Bounds.GraceS, "bounds.retry_window_s": s.Bounds.RetryWindowS, "bounds.load_window_s": s.Bounds.LoadWindowS,
		"bounds.quota_window_s": s.Bounds.QuotaWindowS,
	} {
		if v <= 0 {
			c.add(field, fmt.Sprint(v), "must be above 0")
		}
	}
	for field, v := range map[string]float64{"bounds.config_apply_ms": s.Bounds.ConfigApplyMS, "bounds.drain_ms": s.Bounds.DrainMS} {
		if v < 0 {
			c.add(field, fmt.Sprint(v), "must not be negative")
		}
	}
	s.Duties.check(c, s.Bounds)
	c.logLevel(s.LogLevel)
	if s.CPUShare < 0 {
		c.add("cpu_share", fmt.Sprint(s.CPUShare), "must not be negative")
	}
	if s.SpillWeight < 0 {
		c.add("spill_weight", fmt.Sprint(s.SpillWeight), "must not be negative")
	}
	return c.problems.asError()
}

func (s *Managed) setDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	s.DutiesTemplate.apply(&s.Duties, &s.Bounds)
	s.Bounds.setDutyDefaults()
}

// PeerAddr is where other Jacinthbend processes reach this one. An agent uses the
// second port of the range, since an entry instance may run on the same machine.
func (s *Managed) PeerAddr() string {
	return fmt.Sprintf("%s:%d", s.BindIP, s.PortRange[0]+s.portOffset())
}

// OperatorAddr is where the process serves metrics and health.
func (s *Managed) OperatorAddr() string {
	const operatorPort = 2
	return fmt.Sprintf("%s:%d", s.BindIP, s.PortRange[0]+operatorPort+s.portOffset())
}

// portOffset returns the number to add to the ports of this process. It is 1 for
// an agent, so that its ports differ from those of an entry instance on the same
// machine.
func (s *Managed) portOffset() int {
	if s.UpstreamAddr != "" {
		return 1
	}
	return 0
}

// DutyLease is within which time two holders of a duty must not take turns.
func (s *Managed) DutyLease() time.Duration {
	return time.Duration(s.Bounds.DutyLeaseMS * float64(time.Millisecond))
}

// UsageWindow is the length of the windows of usage reports.
func (s *Managed) UsageWindow() time.Duration { return seconds(s.Bounds.UsageWindowS) }

// UsageLate is how long after the end of a window its usage report is due.
func (s *Managed) UsageLate() time.Duration { return seconds(s.Bounds.UsageLateS) }

// GracePeriod is the time between SIGTERM and SIGKILL.
func (s *Managed) GracePeriod() time.Duration { return seconds(s.Bounds.GraceS) }

// ConfigApplyTime is the time within which a confirmed change must be in force, 0 if unknown.
func (s *Managed) ConfigApplyTime() time.Duration {
	return time.Duration(s.Bounds.ConfigApplyMS * float64(time.Millisecond))
}

// DrainTime is for how long after its announcement a leaving upstream still takes requests, 0 if
// unknown.
func (s *Managed) DrainTime() time.Duration {
	return time.Duration(s.Bounds.DrainMS * float64(time.Millisecond))
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// RetryWindow is the window over which the retries at a service are counted.
func (s *Managed) RetryWindow() time.Duration { return seconds(s.Bounds.RetryWindowS) }

// maxWaitingShare is the share of the memory limit that requests may take which wait for a team's
// quota: 256 prompts of 9 KB and their copies on the smallest machines, of 144 MB.
const maxWaitingShare = 32

// MaxWaitingBytes is how many bytes the requests may hold that wait for a team's quota.
func (s *Managed) MaxWaitingBytes() int64 { return int64(s.MemoryMB) << 20 / maxWaitingShare }

// QuotaWindow is the window over which a team's tokens are counted.
func (s *Managed) QuotaWindow() time.Duration { return seconds(s.Bounds.QuotaWindowS) }

// LoadWindow is the window over which loads from the weight store are counted.
func (s *Managed) LoadWindow() time.Duration { return seconds(s.Bounds.LoadWindowS) }
