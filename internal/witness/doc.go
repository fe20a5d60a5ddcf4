// Package witness keeps what an entry instance has spent at a few agents, so that its next start
// knows it.
//
// The load pattern: all entry instances are killed while teams send within their rates. Agents
// outlive them. Each instance reports to its witnesses, three agents chosen by rendezvous hashing
// of its name, and its next start reads the newest report back.
//
// A report is confirmed once a majority of the witnesses has taken it. For Lease after it made a
// confirmed report, an instance gives out at most one step beyond it. A start accepts a report only
// if that lease had not ended when the start began, and then counts the reported amounts and one
// step as spent. The witnesses measure the age of the lease on their boot-time clocks, from a
// reading that is not later than the report, so that a report that was delayed, or a process that
// was frozen, makes the age larger and never smaller.
//
// docs/design/quota-witnesses.md has the argument and the alternatives.
package witness
