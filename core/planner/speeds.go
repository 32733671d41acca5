package planner

import "time"

// estimator tracks, for each queue, the average ratio of the actual duration of tasks to the caller's estimate.
type estimator struct {
	ratio map[string]*average
}

// average is an exponentially weighted mean. The first values have the same weight as in an arithmetic mean.
type average struct {
	value float64
	count int
}

// learningRate is the minimum weight that a new value has in an average. The n-th value has the weight 1/n as long as
// 1/n is larger than learningRate.
const learningRate = 0.1

func newEstimator() *estimator {
	return &estimator{ratio: map[string]*average{}}
}

func (s *estimator) observe(queue string, estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	a, known := s.ratio[queue]
	if !known {
		a = &average{value: 1}
		s.ratio[queue] = a
	}
	a.count++
	rate := max(learningRate, 1/float64(a.count))
	a.value += rate * (float64(took)/float64(estimate) - a.value)
}

// expect returns the expected duration of a task with the given estimate.
func (s *estimator) expect(queue string, estimate time.Duration) time.Duration {
	if a, known := s.ratio[queue]; known {
		return time.Duration(a.value * float64(estimate))
	}
	return estimate
}
