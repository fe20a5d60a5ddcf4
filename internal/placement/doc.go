// Package placement decides which order an agent gives its engine next. It has
// no input or output.
//
// The load pattern is that of rarely used models: more models than places, a
// copy of most on some disk, and requests for one of them that arrive in the
// second in which it has to be loaded. A load from disk takes less than a
// second, so a model that was displaced is soon back; what must not happen is
// that two wanted models displace each other in turn.
package placement
