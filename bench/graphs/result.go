package main

import (
	"math"
	"time"

	"auburnstack/core/graph"
)

// lateFactor limits the time in which a job must complete: after more than lateFactor times its objective, it earns
// nothing.
const lateFactor = 3

// result holds the figures of one sequence simulated with one variant.
type result struct {
	// credit is the ratio of the value that jobs earned to the value that they could have earned.
	// urgent is the credit of the urgent jobs alone.
	credit, urgent float64
	// worstAccount is the lowest credit of any client account.
	// largest is the credit of the tenth of the jobs that have the largest weights.
	worstAccount, largest float64
	// completion is the mean time in seconds from the acceptance of a job to its end, over the jobs that completed.
	completion float64
	// wasted is the share of the work that was lost because its run ended without a result or a checkpoint.
	// emptyWorkers is the mean share of the free accelerators that are on workers where nothing runs.
	wasted, emptyWorkers float64
	// outWork is the work of the jobs that completed while the first failure domain was taken out, in
	// accelerator-seconds.
	outWork float64
}

// creditSum sums the value that jobs earned and the value that they could have earned.
type creditSum struct{ earned, possible float64 }

func (s creditSum) ratio() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// result computes the figures of a simulation that has ended. Canceled jobs do not count.
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

// largeWeight returns the smallest weight among the tenth of the jobs that have the largest weights.
func (m *simulation) largeWeight() float64 {
	const part = 0.9
	weights := make([]float64, 0, len(m.jobs))
	for _, j := range m.jobs {
		weights = append(weights, j.weight)
	}
	return quantile(weights, part)
}

// earned returns the value per unit of weight that a job earned: the kind's full value if it completed within its
// objective, the late value if it completed within lateFactor times the objective, and 0 if it completed later. A
// poisoned job earns its full value when it is reported as failed.
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
