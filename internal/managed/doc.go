// Package managed assembles the roles for a platform that starts the processes
// and keeps all state: an entry instance and an agent beside each engine. Only
// the wiring, the start and the stop are here.
package managed
