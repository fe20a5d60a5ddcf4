// Package fleet has the types of the state that an instance works from: the
// operators' configuration, the upstreams with the models that they have loaded,
// and the processes of this system (members). Values are immutable once published.
package fleet
