// Package autoscale decides how many servers a service is to have in each data centre. Decide is a pure
// function.
//
// It is written for demand that rises faster than a server boots, and for demand that comes and goes
// within the time of a boot, where a server that is given back is ordered again at once.
package autoscale
