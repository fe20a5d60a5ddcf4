// Package poison limits the damage done by a request that crashes every upstream
// that runs it (fault F10). Agents report the digests of the requests that were
// running during a crash. A digest reported for one crash is a suspect: an
// upstream runs only one suspect at a time. A digest reported for two crashes is
// quarantined: its requests are refused.
package poison
