package settings

// Agent holds the settings of an agent, which runs beside one upstream.
type Agent struct {
	Common
	// Pool is the id of the pool that the upstream belongs to.
	Pool string `json:"pool"`
	// UpstreamAddr is where the upstream listens, IP:port.
	UpstreamAddr string `json:"upstream_addr"`
}

// LoadAgent reads the file at path, applies override and validates the result.
func LoadAgent(path string, override func(*Agent)) (Agent, error) {
	var s Agent
	err := load(path, &s, override)
	return s, err
}

// Validate returns all problems of s as Problems, or nil.
func (s *Agent) Validate() error {
	c := &validator{}
	s.check(c)
	c.required("pool", s.Pool)
	c.address("upstream_addr", s.UpstreamAddr)
	return c.problems.asError()
}
