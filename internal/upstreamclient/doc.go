// Package upstreamclient is an HTTP/1.1 client that sends one request to one upstream
// and reads the response. It manages the connections itself for two reasons:
// whether a request may be sent again depends on whether it can have reached the
// upstream, and a response can be followed by bytes that belong to no request.
//
// Responses are parsed by http.ReadResponse of net/http rather than by hertz,
// because ReadResponse reports a truncated response, even one without a length. The connections
// of package strictconn reject invalid responses before they reach it.
package upstreamclient
