package planner

import (
	"slices"
	"time"

	"auburnstack/core/graph"
)

const (
	// chanceLimit is the number of crashes to be expected during a run, by the crashes of other workers, from which on
	// the crash of its worker does not count against a confirmed run.
	chanceLimit = 0.1
	// minOtherCrashes is the least number of other crashes that make a crash chance, unless they are half of the site.
	// Fewer may be the work of other tasks that crash their workers.
	minOtherCrashes = 3
	// maxOtherCrashes bounds the number of other crashes that are examined for a run. That many are chance enough on any
	// site.
	maxOtherCrashes = 16
	// crashSpan is the longest time by which the planner notices a crash later than another one with the same cause.
	crashSpan = time.Second
)

// crash is a crash of a worker with runs on it.
type crash struct {
	at time.Time
	// jobs holds the jobs whose runs were lost.
	jobs map[graph.ID]struct{}
}

// silentWorkers returns the workers with runs on them, other than the given one, that do not answer. They may have
// crashed.
func (p *Planner) silentWorkers(except *worker) []*worker {
	var silent []*worker
	for _, w := range p.workersByName {
		if w != except && !w.silentSince.IsZero() && len(w.members) > 0 {
			silent = append(silent, w)
		}
	}
	return silent
}

// isChance reports whether a run's worker may have crashed by chance: so many other workers crashed during the run, by
// no start and without a run of the same job.
func (p *Planner) isChance(run lostRun, crashed time.Time, silent []*worker) bool {
	site := float64(len(p.workers))
	least := min(minOtherCrashes, site/2)
	limit := min(max(chanceLimit*site, least), maxOtherCrashes)
	from, to := crashed.Add(-run.Age-crashSpan), crashed.Add(crashSpan)
	during := func(t time.Time) bool { return !t.Before(from) && !t.After(to) }
	count := 0.0
	for _, c := range p.unexplained {
		if _, ran := c.jobs[run.unit.job.ID]; !ran && during(c.at) {
			count++
		}
		if count >= limit {
			return true
		}
	}
	for _, w := range silent {
		if during(w.silentSince) && !w.runs(run.unit.job) {
			count++
		}
		if count >= limit {
			return true
		}
	}
	return false
}

// runs reports whether a run of a job is on a worker.
func (w *worker) runs(j *jobState) bool {
	for m := range w.members {
		if m.unit.job == j {
			return true
		}
	}
	return false
}

// rememberUnexplained remembers a crash that no start explains. It must be called before the worker's runs are
// released.
func (p *Planner) rememberUnexplained(w *worker, now time.Time) {
	p.unexplained = slices.DeleteFunc(p.unexplained, func(c crash) bool { return now.Sub(c.at) >= 2*maxCrashAge })
	c := crash{at: w.crashedAt(now), jobs: map[graph.ID]struct{}{}}
	for m := range w.members {
		c.jobs[m.unit.job.ID] = struct{}{}
	}
	p.unexplained = append(p.unexplained, c)
}
