package main

import (
	"math"
	"slices"
)

// quantile sorts the values and returns one quantile of them. The parameter part is between 0 and 1: 0.9 selects the
// 90th percentile. It returns 0 for no values.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}

// meanEstimate is a mean and half the width of its 95% confidence interval.
type meanEstimate struct{ mean, halfWidth float64 }

// estimateMean returns the mean of the values with its confidence interval, assuming that the mean is normally
// distributed.
func estimateMean(values []float64) meanEstimate {
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
		return meanEstimate{mean: mean}
	}
	const normal95 = 1.96
	return meanEstimate{mean: mean, halfWidth: normal95 * math.Sqrt(squares/(n-1)/n)}
}
