// Package policy measures the team budgets, the entry queue and the routing in
// virtual time. It compares each with a simpler policy on the same workload.
package policy
