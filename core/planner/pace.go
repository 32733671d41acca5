package planner

import (
	"math"
	"time"
)

const (
	// minRatioSamples is the number of tasks on a worker whose durations must have been compared with the mean of their
	// step before the worker can be classified as slow.
	minRatioSamples = 2
	// minFinishedSiblings is the number of tasks of a step that must have finished before their mean duration serves as
	// the reference for further tasks.
	minFinishedSiblings = 4
	// slowExcess is the minimum by which a worker's duration ratio must exceed 1 for the worker to be slow. The ratio
	// compares the durations of tasks on the worker with the mean duration of tasks of the same step.
	slowExcess = 0.1
	// defaultDeviation is the standard deviation of duration ratios to assume until minDeviationSamples ratios are
	// known.
	defaultDeviation = 0.2
	// minDeviationSamples is the number of duration ratios from which on their standard deviation is computed instead
	// of assumed.
	minDeviationSamples = 20
	// minRatioWeight is the minimum weight of the newest task in a worker's duration ratio.
	minRatioWeight = 0.15
)

// durationRatio is a moving average of the duration of tasks on one worker, relative to the mean duration of tasks of
// the same step. The average starts at 1, and this initial value has the weight of one task.
type durationRatio struct {
	ratio   float64
	samples int
}

func (p *durationRatio) observe(ratio float64) {
	p.samples++
	if p.samples == 1 {
		p.ratio = 1
	}
	p.ratio += max(minRatioWeight, 1/float64(p.samples+1)) * (ratio - p.ratio)
}

// ratioVariance accumulates the squared deviation from 1 of the duration ratios of all workers.
type ratioVariance struct {
	squares float64
	samples int
}

func (s *ratioVariance) observe(ratio float64) {
	s.squares += (ratio - 1) * (ratio - 1)
	s.samples++
}

func (s *ratioVariance) deviation() float64 {
	if s.samples < minDeviationSamples {
		return defaultDeviation
	}
	return math.Sqrt(s.squares / float64(s.samples))
}

// isSlow reports whether tasks take longer on a worker than on others: whether its duration ratio exceeds 1 by more
// than slowExcess and by more than the standard error of the ratio.
func (p *Planner) isSlow(w *worker) bool {
	if w.durationRatio.samples < minRatioSamples {
		return false
	}
	standardError := p.ratioVariance.deviation() / math.Sqrt(float64(w.durationRatio.samples))
	return w.durationRatio.ratio > 1+max(slowExcess, standardError)
}

// durations holds the sum and number of the durations of the finished tasks of a step.
type durations struct {
	sum   time.Duration
	count int
}

// observeDuration compares the duration of a finished task with the mean of its step's tasks that finished before. The
// function skips gangs, whose tasks end together, and tasks that resumed from a checkpoint: their durations say nothing
// about the speed of one worker.
func (p *Planner) observeDuration(m *member, now time.Time) {
	u := m.unit
	if u.spec().Gang || u.resumed {
		return
	}
	key := stepKey{occurrence: u.occurrence, step: u.step}
	if u.job.durations == nil {
		u.job.durations = map[stepKey]*durations{}
	}
	d := u.job.durations[key]
	if d == nil {
		d = &durations{}
		u.job.durations[key] = d
	}
	took := now.Sub(u.startedAt)
	if d.count >= minFinishedSiblings {
		ratio := float64(took) * float64(d.count) / float64(d.sum)
		m.worker.durationRatio.observe(ratio)
		p.ratioVariance.observe(ratio)
	}
	d.sum += took
	d.count++
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	occurrence, step int
}
