package attempt

// Admission is the answer to a dispatch.
type Admission string

// Verdicts on a dispatch.
const (
	// AdmissionGranted: the caller must run the attempt now and report how it ended.
	AdmissionGranted Admission = "run"
	// AdmissionDuplicateRunning and VerdictFinished: the dispatch is a duplicate.
	AdmissionDuplicateRunning  Admission = "running"
	AdmissionDuplicateFinished Admission = "finished"
	// AdmissionFenced: the attempt never ran here and never will.
	AdmissionFenced Admission = "fenced"
	// AdmissionUnknown: the attempt must not run and may have run earlier.
	AdmissionUnknown Admission = "unknown"
	// AdmissionTableFull: too many attempts run; this one is fenced.
	AdmissionTableFull Admission = "full"
)
