// Package entrylink has the calls between entry instances: tokens of a team's
// quota are lent, and records of the platform's topics are handed to an
// instance that has lost the store.
package entrylink
