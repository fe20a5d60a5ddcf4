// Package rules removes rules of the product from a copy of its sources, one at a time, and
// runs the test that should notice it.
package rules
