// Package untrusted has the tests of clients that respect no limits. Each test starts the
// system's own processes on loopback, sends one kind of traffic to one of their ports, and
// checks that the process lives within its memory and descriptors and answers an ordinary
// request. Neither times nor shares of served requests are checked.
package untrusted
