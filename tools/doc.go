// Package tools pins the linters of the workspace in its go.mod.
package tools
