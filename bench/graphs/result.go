package main

import (
	"math"
	"time"

	"auburnstack/core/graph"
)

// lateFactor is the multiple of its objective after which a job brings nothing.
const lateFactor = 3

// result is what one sequence brought under one variant.
type result struct {
	// credit is the worth that was earned against the worth that could have been; urgent that of urgent jobs alone.
	credit, urgent float64
	// worstAccount and largest are the credits of the account that is served worst, and of the largest tenth of the jobs.
	worstAccount, largest float64
	// completion is the mean time from acceptance to the end of jobs that finished, in seconds.
	completion float64
	// wasted is the part of the work that was thrown away; emptyWorkers the part of the free accelerators on empty workers.
	wasted, emptyWorkers float64
	// done is the work that was finished while the failure domain was out, in accelerator-seconds.
	outWork float64
}

// creditSum is a sum of what was earned and of what could have been.
type creditSum struct{ earned, possible float64 }

func (s creditSum) ratio() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func (m *simulation) result() result {
	var all, urgent, largest creditSum
	byAccount := map[string]creditSum{}
	var r result
	var times float64
	finished := 0
	limit := m.largeWeight()
	for _, j := range m.jobs {
		if j.cancelAfter > 0 {
			continue
		}
		possible := j.weight * j.kind.value
		earned := j.weight * m.earned(j)
		add := func(s creditSum) creditSum { return creditSum{s.earned + earned, s.possible + possible} }
		all = add(all)
		byAccount[string(j.job.ClientAccount)] = add(byAccount[string(j.job.ClientAccount)])
		if j.kind.priority == 0 {
			urgent = add(urgent)
		}
		if j.weight >= limit {
			largest = add(largest)
		}
		if j.state == graph.Complete {
			times += j.ended.Sub(j.job.Accepted).Seconds()
			finished++
			if at := j.ended.Sub(epoch); at >= m.pattern.outFrom && at < m.pattern.outTo {
				step := &j.job.Steps[0]
				r.outWork += float64(step.Tasks) * float64(step.Needs.Accelerators) * j.work.Seconds()
			}
		}
	}
	r.credit, r.urgent, r.largest, r.worstAccount = all.ratio(), urgent.ratio(), largest.ratio(), 1
	for _, s := range byAccount {
		r.worstAccount = min(r.worstAccount, s.ratio())
	}
	r.completion = times / math.Max(float64(finished), 1)
	r.wasted = m.wastedWork / math.Max(m.totalWork, 1)
	r.emptyWorkers = m.emptyWorkersSum / math.Max(float64(m.samples), 1)
	return r
}

// largeWeight is the weight from which a job belongs to the largest tenth.
func (m *simulation) largeWeight() float64 {
	const part = 0.9
	weights := make([]float64, 0, len(m.jobs))
	for _, j := range m.jobs {
		weights = append(weights, j.weight)
	}
	return quantile(weights, part)
}

// earned is what a job brings: its worth within its objective, less within three times of it, nothing later.
func (m *simulation) earned(j *simulatedJob) float64 {
	if j.poisoned && j.state == graph.Failed {
		return j.kind.value
	}
	if j.state != graph.Complete {
		return 0
	}
	objective := time.Duration(j.kind.stretch*float64(j.work)) + j.kind.target
	switch took := j.ended.Sub(j.job.Accepted); {
	case took <= objective:
		return j.kind.value
	case took <= lateFactor*objective:
		return j.kind.lateValue
	default:
		return 0
	}
}
