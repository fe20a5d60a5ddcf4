// Package responsetest has responses that break HTTP/1.1 and responses that don't, and a
// server that sends them, for tests of everything that reads responses.
package responsetest
