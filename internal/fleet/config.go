package fleet

// Config is one version of the operators' configuration.
type Config struct {
	// Version rises with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Teams is empty when every route is open to all.
	Teams  []Team
	Limits Limits
}

// Service returns the service called name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.Services[name]
	return s, ok
}
