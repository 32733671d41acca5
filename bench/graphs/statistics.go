package main

import (
	"math"
	"slices"
)

// quantile returns the value below which a part of the values lies.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}

// estimate is a mean with the half width of its 95% confidence interval.
type estimate struct{ mean, half float64 }

// estimateOf assumes a normal distribution of the mean.
func estimateOf(values []float64) estimate {
	n := float64(len(values))
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	mean := sum / n
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	if n < 2 {
		return estimate{mean: mean}
	}
	const normal95 = 1.96
	return estimate{mean: mean, half: normal95 * math.Sqrt(squares/(n-1)/n)}
}
