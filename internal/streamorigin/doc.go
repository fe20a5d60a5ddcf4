// Package streamorigin knows which software version of a service began a stream, so that a
// stream which its caller resumes goes on at that version.
//
// Invariants: a version is told only for a stream that began at it, or if the service has had no
// other version for longer than a stream lasts. Nothing is written while each service has one
// version. What is kept is bounded in number and age.
package streamorigin
