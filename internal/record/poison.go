package record

// PoisonCrash reports the requests that were running when an upstream crashed.
type PoisonCrash struct {
	// CrashID is the same in every report of one crash, so that the crash counts
	// once.
	CrashID string      `json:"crash_id"`
	Agent   InstanceRef `json:"home"`
	// Digests identify the requests that were running.
	Digests []string `json:"digests"`
}

// Kind implements Body.
func (PoisonCrash) Kind() Kind { return KindPoisonCrash }

// PoisonCleared clears requests that are suspected of a crash, because they have
// completed since or because the upstream had not crashed.
type PoisonCleared struct {
	Digests []string `json:"digests"`
}

// Kind implements Body.
func (PoisonCleared) Kind() Kind { return KindPoisonCleared }
