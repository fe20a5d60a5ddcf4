package config

// Adapter is a set of weights that an engine loads on top of a base model.
type Adapter struct {
	// Model is the id of the base model.
	Model string `json:"model"`
	// Version is the version of the checkpoint. Default "1".
	Version string `json:"version,omitempty"`
	// MemoryMiB is the memory that the adapter needs in addition to its base model, in MiB.
	MemoryMiB int64 `json:"memory_mib"`
	// MaxReplicas is the maximum number of loaded replicas. Default 1.
	MaxReplicas int `json:"max_replicas,omitempty"`
	// Teams are the ids of the teams that may use the adapter; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Value is the priority among loads with the same deadline, highest first. Default 0.
	Value int `json:"value,omitempty"`
}
