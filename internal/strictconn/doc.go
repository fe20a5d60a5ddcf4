// Package strictconn has the connections on which this process sends HTTP/1.1 requests and reads
// the responses. They check each response while it is read, whatever parses it: a read fails as soon
// as the response breaks the protocol (RFC 9112), and the parser never gets the rest of it. The parsers
// in use, those of net/http and hertz, repair or accept such responses in different ways.
//
// Invariants:
//   - No byte of a head or trailer is delivered before all of it is valid.
//   - io.EOF is returned only between responses, or at the orderly end of a body without a length.
//   - Interim responses (1xx) are checked and never delivered.
package strictconn
