// Package budget enforces each team's rate and burst, in tokens, across the
// whole fleet (H7). A team's budget is split into shares. Rendezvous hashing
// assigns each share to one entry instance, its owner, which keeps a token bucket
// and issues short-lived grants from it. Each entry instance is also a holder of
// grants: it admits a request by spending granted tokens.
//
// A view (controlstate.View) is the state of the fleet that an instance has built by
// applying the records of the control stream up to some offset.
//
// Four rules keep a team within its rate and burst:
//   - A grant expires GrantTTL after its holder sent the request for it.
//   - A new owner waits MaxViewAge after it applied the record that made it the
//     owner (the takeover wait), and then starts with an empty bucket.
//   - No owner issues and no holder spends tokens while Fleet.MayWork is false,
//     that is, while the instance's view is older than MaxViewAge.
//   - A bucket holds at most the burst less what the rate yields within GrantTTL,
//     because tokens spent in [a, b] may have been issued since a - GrantTTL.
package budget
