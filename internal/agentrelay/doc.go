// Package agentrelay carries the states of agents to the entry instances of a fleet whose
// agents are too many for each instance to watch.
//
// The agents are divided into slices. In each data centre one entry instance, the relay,
// watches the agents of a slice, and the others read the states from it. Which instance
// is the relay follows from the member list and from which instances answer, so there is
// no election: an instance that is asked for a slice watches it. With few agents every
// instance watches all of them itself.
//
// The package does not know how an upstream is chosen, and does not decide on loads.
package agentrelay
