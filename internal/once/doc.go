// Package once runs a call that must not be repeated at most once (invariants
// H11 and H12). Before an entry instance dispatches such a call, it appends an
// intent to one of the log streams once-00, once-01, and so on. The first
// intent for a call wins, whichever instance wrote it to the stream, and only
// the entry instance named as its author may dispatch the call.
//
// The package reads the time from package time. The guarantee requires that the
// wall clocks of any two instances differ by less than Options.MaxClockSkew. It
// depends on nothing else about the clocks.
package once
