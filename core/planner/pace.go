package planner

import (
	"math"
	"time"
)

const (
	// paceSamples is the number of tasks that a worker must have finished before it is judged.
	paceSamples = 2
	// paceSiblings is the number of tasks of a step that must have finished before they tell what is usual.
	paceSiblings = 4
	// slowExcess is the least excess of time, against their siblings, that makes a worker slow.
	slowExcess = 0.1
	// usualSpread is the standard deviation of the samples until enough are known.
	usualSpread = 0.2
	// spreadSamples is the number of samples from which their spread is known.
	spreadSamples = 20
	// paceRate is the least weight of a new sample.
	paceRate = 0.15
)

// pace learns how long tasks take on a worker against equal tasks elsewhere.
type pace struct {
	ratio   float64
	samples int
}

func (p *pace) observe(ratio float64) {
	p.samples++
	if p.samples == 1 {
		p.ratio = 1
	}
	p.ratio += max(paceRate, 1/float64(p.samples+1)) * (ratio - p.ratio)
}

// spread is the standard deviation of all workers' samples around 1.
type spread struct {
	squares float64
	samples int
}

func (s *spread) observe(ratio float64) {
	s.squares += (ratio - 1) * (ratio - 1)
	s.samples++
}

func (s *spread) deviation() float64 {
	if s.samples < spreadSamples {
		return usualSpread
	}
	return math.Sqrt(s.squares / float64(s.samples))
}

// isSlow tells whether a worker's tasks take longer by more than the error of their mean.
func (p *Planner) isSlow(w *worker) bool {
	if w.pace.samples < paceSamples {
		return false
	}
	doubt := p.spread.deviation() / math.Sqrt(float64(w.pace.samples))
	return w.pace.ratio > 1+max(slowExcess, doubt)
}

// durations holds how long the finished tasks of a step took.
type durations struct {
	sum   time.Duration
	count int
}

// observePace compares a task that has finished with those of its step that finished before it. Gangs end together and
// tell nothing of one worker; nor does a task that resumed.
func (p *Planner) observePace(m *member, now time.Time) {
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
	took := now.Sub(u.started)
	if d.count >= paceSiblings {
		ratio := float64(took) * float64(d.count) / float64(d.sum)
		m.worker.pace.observe(ratio)
		p.spread.observe(ratio)
	}
	d.sum += took
	d.count++
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	occurrence, step int
}
