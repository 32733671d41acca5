package planner

import (
	"math"
	"time"
)

const (
	// minRatioSamples is the number of tasks that a worker must have finished before it is judged.
	minRatioSamples = 2
	// minFinishedSiblings is the number of tasks of a step that must have finished before they tell what is usual.
	minFinishedSiblings = 4
	// slowExcess is the least excess of time, against their siblings, that makes a worker slow.
	slowExcess = 0.1
	// defaultDeviation is the standard deviation of the samples until enough are known.
	defaultDeviation = 0.2
	// minDeviationSamples is the number of samples from which their spread is known.
	minDeviationSamples = 20
	// minRatioWeight is the least weight of a new sample.
	minRatioWeight = 0.15
)

// durationRatio learns how long tasks take on a worker against equal tasks elsewhere.
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

// ratioVariance is the standard deviation of all workers' samples around 1.
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

// isSlow tells whether a worker's tasks take longer by more than the error of their mean.
func (p *Planner) isSlow(w *worker) bool {
	if w.durationRatio.samples < minRatioSamples {
		return false
	}
	standardError := p.ratioVariance.deviation() / math.Sqrt(float64(w.durationRatio.samples))
	return w.durationRatio.ratio > 1+max(slowExcess, standardError)
}

// durations holds how long the finished tasks of a step took.
type durations struct {
	sum   time.Duration
	count int
}

// observeDuration compares a task that has finished with those of its step that finished before it. Gangs end together and
// tell nothing of one worker; nor does a task that resumed.
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
