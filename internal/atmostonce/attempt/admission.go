package attempt

// Admission is the table's decision on a dispatch.
type Admission string

// Decisions on a dispatch.
const (
	// AdmissionGranted: the caller must run the attempt now and report how it ended.
	AdmissionGranted Admission = "run"
	// AdmissionDuplicateRunning and AdmissionDuplicateFinished: the attempt was
	// admitted earlier and is still running, or has a result.
	AdmissionDuplicateRunning  Admission = "running"
	AdmissionDuplicateFinished Admission = "finished"
	// AdmissionFenced: the attempt never ran on this agent and never will.
	AdmissionFenced Admission = "fenced"
	// AdmissionUnknown: the attempt must not run, but may have run earlier.
	AdmissionUnknown Admission = "unknown"
	// AdmissionTableFull: too many attempts are running, so this one is fenced.
	AdmissionTableFull Admission = "full"
)
