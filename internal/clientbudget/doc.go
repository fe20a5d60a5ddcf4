// Package clientbudget bounds what a process holds for the clients of its listeners: the bytes of
// requests and responses, and connections. The load that it handles is a crowd of clients that each
// stay within the limits of one connection and together exceed the memory of the machine. When a
// budget is used up, the connections that hold most and make least progress are ended first.
package clientbudget
