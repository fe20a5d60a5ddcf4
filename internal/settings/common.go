package settings

import "time"

// Common holds the settings that entry instances and agents share.
type Common struct {
	// Instance is the platform's id of this machine.
	Instance string `json:"instance"`
	// DataCentre is the id of the data centre that this machine is in.
	DataCentre string `json:"data_centre"`
	// PeerAddr is where other instances reach this one, IP:port.
	PeerAddr string `json:"peer_addr"`
	// OperatorAddr serves metrics, health and, on an entry instance, the console, IP:port.
	OperatorAddr string `json:"operator_addr"`
	// Platform has the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Seeds are peer addresses for joining while the log is unavailable, IP:port each.
	Seeds []string `json:"seeds,omitempty"`
	// DrainTimeoutS bounds a graceful shutdown, in seconds, from 1 to 86400. Default 60.
	DrainTimeoutS int `json:"drain_timeout_s,omitempty"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty"`
}

// Platform has the addresses of the platform's services.
type Platform struct {
	// LogAddr is the append-only log, IP:port.
	LogAddr string `json:"log_addr"`
	// ListAddr is the instance list, IP:port.
	ListAddr string `json:"list_addr"`
	// WeightsAddr is the weight store, IP:port; agents of engines only.
	WeightsAddr string `json:"weights_addr,omitempty"`
}

const (
	defaultDrainTimeoutS = 60
	// maxDrainTimeoutS is a day. Far larger values would overflow the duration.
	maxDrainTimeoutS = 24 * 60 * 60
	defaultLogLevel  = "info"
)

// DrainTimeout returns the bound of a graceful shutdown.
func (s Common) DrainTimeout() time.Duration {
	return time.Duration(s.DrainTimeoutS) * time.Second
}

func (s *Common) setDefaults() {
	if s.DrainTimeoutS == 0 {
		s.DrainTimeoutS = defaultDrainTimeoutS
	}
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
}

func (s *Common) check(c *validator) {
	c.required("instance", s.Instance)
	c.required("data_centre", s.DataCentre)
	c.address("peer_addr", s.PeerAddr)
	c.address("operator_addr", s.OperatorAddr)
	c.address("platform.log_addr", s.Platform.LogAddr)
	c.address("platform.list_addr", s.Platform.ListAddr)
	if s.Platform.WeightsAddr != "" {
		c.address("platform.weights_addr", s.Platform.WeightsAddr)
	}
	for _, seed := range s.Seeds {
		c.address("seeds", seed)
	}
	c.within("drain_timeout_s", s.DrainTimeoutS, 1, maxDrainTimeoutS)
	c.logLevel(s.LogLevel)
}

func (c *validator) logLevel(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log_level", level, "must be debug, info, warn or error")
	}
}
