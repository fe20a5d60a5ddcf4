package fleet

// Config is one version of the operators' configuration.
type Config struct {
	// Version rises with each change, not always by one.
	Version  int64
	Routes   []Route
	Services map[string]Service
	// Teams is empty when no route requires a key.
	Teams  []Team
	Limits Limits
}

// Service returns the service called name, and whether it exists.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.Services[name]
	return s, ok
}
