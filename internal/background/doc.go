// Package background runs jobs beside the request path. A job that panics ends with a
// log line and a count in jacinthbend_panics_total instead of ending the process.
package background
