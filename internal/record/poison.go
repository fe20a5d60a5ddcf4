package record

// PoisonCrash reports the requests that ran when an upstream crashed.
type PoisonCrash struct {
	// CrashID is unique per crash, so that a repeated report counts once.
	CrashID string  `json:"crash_id"`
	Agent    InstanceRef `json:"home"`
	// Digests identify the running requests.
	Digests []string `json:"digests"`
}

// Kind implements Body.
func (PoisonCrash) Kind() Kind { return KindPoisonCrash }

// PoisonCleared withdraws the suspicion of requests that have completed since.
type PoisonCleared struct {
	Digests []string `json:"digests"`
}

// Kind implements Body.
func (PoisonCleared) Kind() Kind { return KindPoisonCleared }
