// Package placement decides which order an agent gives its engine next. It
// performs no I/O.
//
// It is designed for rarely used models: there are more models than fit in
// memory, most have a copy on some disk, and requests for a model arrive in the
// second in which it has to be loaded. A load from disk takes less than a
// second, so an unloaded model is soon back. What must not happen is that two
// models in demand displace each other in turn.
package placement
