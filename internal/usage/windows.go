package usage

import "time"

// Windows divides true time into windows of equal length. Window k begins k lengths after the start
// of 1970.
type Windows struct {
	Length time.Duration
}

// At returns the window of a time.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// Start returns when a window begins.
func (w Windows) Start(window int64) time.Time { return time.Unix(0, window*int64(w.Length)) }

// End returns when a window ends.
func (w Windows) End(window int64) time.Time { return w.Start(window + 1) }
