// Package promptcache describes which prompt parts an engine has cached. The agent of an
// engine keeps a Tracker, which decides what is reported; an entry instance keeps the Parts
// that result from the reports. The package does no I/O.
//
// It handles a load in which many entry instances send prompts with shared parts to the same
// engines, so that none of them knows from its own requests what an engine has cached.
package promptcache
