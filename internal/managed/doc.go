// Package managed assembles, starts and stops the two roles that run as
// processes on the platform: the entry instance, and the agent beside each
// engine. The platform starts the processes and stores all state.
package managed
