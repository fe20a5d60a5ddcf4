// Package exchange sends one request to one upstream and reads its answer. It
// owns the connections, because what may be sent again depends on what surely
// has not arrived, and because bytes that belong to no request can follow an
// answer.
//
// Answers are parsed by net/http's ReadResponse rather than by hertz: it
// reports an answer that ends early, also one that has no length.
package exchange
