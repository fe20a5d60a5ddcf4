// Package speed learns how long the upstreams of a service take for their work, from the
// times of their responses. It does no I/O and reads no clock: it gets observations with
// their times and returns estimates.
//
// It handles fleets whose engines differ permanently in speed, and engines that other work
// slows down for fractions of a second: one estimate for all engines is then wrong by a
// factor of two or three for most requests, and fast and slow engines get equal load.
package speed
