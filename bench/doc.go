// Package bench is the root of the module with the load generators, simulations and
// end-to-end measurements of the project.
package bench
