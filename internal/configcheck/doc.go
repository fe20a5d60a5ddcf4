// Package configcheck examines a configuration document before it is published.
// It reports the errors of the document, entries that no request can reach, limits
// that contradict each other, and what a publication would change for callers and
// operators. Its functions do no I/O.
package configcheck
