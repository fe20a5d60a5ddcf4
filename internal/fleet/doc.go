// Package fleet holds the typed model of what an instance knows: the operators'
// configuration, the upstreams with what they hold, and the members of the
// system itself. Values are immutable once published.
package fleet
