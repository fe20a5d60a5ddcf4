// Package fleet defines the data that an instance works with: the operators'
// configuration, the upstreams with the models that they have loaded, and the
// processes of this system (members). Values are immutable once published.
package fleet
