// Package capacity measures the cost of each mechanism at several sizes and
// extrapolates it to the target size.
package capacity

import (
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Size is the size parameter of the benchmark, for example the number of members.
	Size float64
	// Value is the cost at that size.
	Value float64
}

// LinearCost is a cost as a linear function of a size.
type LinearCost struct {
	// Name says what is measured, Per what the size counts, and Unit is the unit of the
	// cost.
	Name string
	Per  string
	Unit string
	// Points are the measurements.
	Points []Point
	// Target is the target size.
	Target float64

	intercept, slope, r2 float64
}

// Fit fits a line to the points by least squares.
func (c *LinearCost) Fit() {
	xs := make([]float64, len(c.Points))
	ys := make([]float64, len(c.Points))
	for i, p := range c.Points {
		xs[i], ys[i] = p.Size, p.Value
	}
	c.intercept, c.slope = stat.LinearRegression(xs, ys, nil, false)
	c.r2 = stat.RSquared(xs, ys, nil, c.intercept, c.slope)
}

// Intercept returns the cost at size 0.
func (c *LinearCost) Intercept() float64 { return c.intercept }

// Slope returns the additional cost per unit of size.
func (c *LinearCost) Slope() float64 { return c.slope }

// R2 returns the coefficient of determination of the fit: 1 is a perfect fit.
func (c *LinearCost) R2() float64 { return c.r2 }

// AtTarget returns the cost at the target size.
func (c *LinearCost) AtTarget() float64 { return c.intercept + c.slope*c.Target }
