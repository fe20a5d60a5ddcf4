package policy

import "slices"

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func minimum(values []float64) float64 { return slices.Min(values) }

func maximum(values []float64) float64 { return slices.Max(values) }
