// Package duty decides which entry instance makes the calls to the platform that only one instance
// may make at a time, and makes the usage reports.
//
// The order of records in one partition of the platform's log decides. Each record is appended on
// the condition that its writer has read all records before it. A claim gives the duty to its
// writer, and its position in the log is the fencing token of the calls. What is reported is in the
// log before it is sent.
//
// Decide is the decision, a pure function. It is written for holders that are killed, frozen or cut
// off at any step, and for a log and a platform that are slow, unavailable or restored from a copy.
package duty
