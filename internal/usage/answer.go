package usage

import "time"

// Request asks an entry instance for its counts of a window.
type Request struct {
	// Holder is the instance that has the duty to report, and Token its fencing token.
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	// Window is the window that is asked for, 0 for none.
	Window int64 `json:"window,omitempty"`
	// Recorded is the newest window whose counts are in the log, 0 for none.
	Recorded int64 `json:"recorded,omitempty"`
	// Pending is a window for whose counts the holder still waits, 0 for none.
	Pending int64 `json:"pending,omitempty"`
	// CorrectionMS is what the called instance has to add to its clock, in ms; nil if its clock is
	// right as far as known.
	CorrectionMS *int64 `json:"correction_ms,omitempty"`
	// Ask are other instances that the called one asks in place of the caller, and Corrections what
	// they have to add to their clocks, in ms.
	Ask         []string         `json:"ask,omitempty"`
	Corrections map[string]int64 `json:"corrections,omitempty"`
}

// Answer has the counts of an instance in a window.
type Answer struct {
	// Start is the random number of this run of the process.
	Start uint64 `json:"start"`
	// Own are the counts of this run.
	Own Counts `json:"own,omitempty"`
	// Complete tells that no earlier run may have counted anything in the window.
	Complete bool `json:"complete,omitempty"`
	// ClockUS is the instance's clock, in microseconds after the start of 1970, and CorrectionMS
	// what it adds to its machine's clock.
	ClockUS      int64 `json:"clock_us"`
	CorrectionMS int64 `json:"correction_ms,omitempty"`
	// Busy is how many requests of the instance run on average, by service and data centre, for the
	// services whose number of servers is decided here.
	Busy map[string]map[string]float64 `json:"busy,omitempty"`
	// Others are the answers of the instances that the called one was to ask.
	Others map[string]Answer `json:"others,omitempty"`
}

// forInstance returns the request to another instance in place of the caller.
func (r Request) forInstance(name string) Request {
	r.Ask, r.CorrectionMS = nil, nil
	if ms, ok := r.Corrections[name]; ok {
		r.CorrectionMS = &ms
	}
	r.Corrections = nil
	return r
}

// clock returns the instance's clock.
func (a Answer) clock() time.Time { return time.UnixMicro(a.ClockUS) }
