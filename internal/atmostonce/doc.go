// Package atmostonce runs a call that must not be repeated at most once (invariants
// H11 and H12). Before an entry instance dispatches such a call, it appends an
// intent to one of the log streams once-00, once-01, and so on. The first
// intent for a call wins, whichever instance wrote it to the stream, and only
// the entry instance named as its author may dispatch the call.
//
// Each dispatch of a call is an attempt with its own id. To settle an attempt is
// to ask its agent for the attempt's final state. An agent that has not received
// the attempt fences it: the agent will refuse it if it arrives later. Only a
// fenced attempt may be superseded by another one.
//
// The guarantee requires that the wall clocks of any two instances differ by
// less than Options.MaxClockSkew. It needs no other assumption about clocks.
package atmostonce
