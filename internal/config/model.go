package config

// Model is a base model.
type Model struct {
	// Pool is the id of the engine pool that serves the model.
	Pool string `json:"pool"`
	// Version is the version of the checkpoint. Default "1".
	Version string `json:"version,omitempty"`
	// MemoryMiB is the memory of one loaded replica, in MiB.
	MemoryMiB int64 `json:"memory_mib"`
	// MinReplicas is the minimum number of loaded replicas. Default 0.
	MinReplicas int `json:"min_replicas,omitempty"`
	// MaxReplicas is the maximum number of loaded replicas. Default 1.
	MaxReplicas int `json:"max_replicas,omitempty"`
	// Teams are the ids of the teams that may use the model; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Value is the priority among loads with the same deadline, highest first. Default 0.
	Value int `json:"value,omitempty"`
}
