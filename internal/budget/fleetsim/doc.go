// Package fleetsim simulates a fleet of entry instances that run package budget
// against an in-memory platform log, with injected faults. It must run in the
// virtual time of testing/synctest.
package fleetsim
