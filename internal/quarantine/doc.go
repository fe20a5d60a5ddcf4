// Package quarantine finds out which requests crash the upstreams that run them, and
// refuses them.
//
// All requests that run at an upstream end with it, so a crash alone does not tell which
// of them caused it. Each crash counts against every suspect that ran there: the digest of
// each request and each part of its prompt. A suspect that has completed since is cleared
// of the crash. What most crashes have in common is quarantined.
package quarantine
