// Package claims simulates claimants that claim items of work by appending to the
// log: the first append for an item wins and every later one is void. It counts the
// voided appends under different policies for picking the next item.
package claims

// Policy is how a claimant picks the next item.
type Policy string

const (
	// Ordered picks the first unclaimed item.
	Ordered Policy = "ordered"
	// Random picks a random unclaimed item.
	Random Policy = "random"
	// Rendezvous picks only items that rendezvous hashing assigns to the claimant.
	Rendezvous Policy = "rendezvous"
)

// Policies returns all policies in the order of the table rows.
func Policies() []Policy { return []Policy{Ordered, Random, Rendezvous} }
