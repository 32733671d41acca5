package planner

import (
	"time"
)

const (
	// paceSamples is the number of tasks that a worker must have finished before it is judged.
	paceSamples = 2
	// paceSiblings is the number of tasks of a step that must have finished before they tell what is usual.
	paceSiblings = 4
	// slowPace is the time that a slow worker's tasks take, against that of their siblings.
	slowPace = 1.12
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

func (p *pace) slow() bool {
	return p.samples >= paceSamples && p.ratio > slowPace
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
		m.worker.pace.observe(float64(took) * float64(d.count) / float64(d.sum))
	}
	d.sum += took
	d.count++
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	occurrence, step int
}
