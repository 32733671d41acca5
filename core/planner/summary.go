package planner

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"auburnstack/core/graph"
)

// Summary describes the course of an ended job, for the log.
type Summary struct {
	// Took is the time from the job's acceptance to its end. Waited is the time from the job's acceptance to its first
	// start.
	Took, Waited time.Duration
	// Objective is the time within which the job should have finished.
	Objective time.Duration
	// Failures is the number of failed runs, summed over all units.
	Failures int
	// Stops lists the reasons for which units were stopped, each with the number of stops for this reason.
	Stops string
}

// Summary returns the summary of an ended job, or an empty one if the job is unknown.
func (p *Planner) Summary(id graph.ID) Summary {
	j, known := p.jobs[id]
	if !known {
		return Summary{}
	}
	s := Summary{Took: j.ended.Sub(j.Accepted), Objective: p.objective(j)}
	if !j.firstStart.IsZero() {
		s.Waited = j.firstStart.Sub(j.Accepted)
	}
	j.eachUnit(func(u *unit) { s.Failures += u.failures })
	var stops []string
	for reason, count := range j.stopCounts {
		stops = append(stops, fmt.Sprintf("%s %d", reason, count))
	}
	sort.Strings(stops)
	s.Stops = strings.Join(stops, ", ")
	return s
}

// objective returns the time within which a job should finish: the expected duration of its critical path times the
// stretch factor of its queue, plus the queue's target.
func (p *Planner) objective(j *jobState) time.Duration {
	criticalPath := p.estimator.expect(j.queue.key, j.CriticalPath())
	return time.Duration(j.queue.Stretch*float64(criticalPath)) + j.queue.Target
}
