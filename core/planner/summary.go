package planner

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"auburnstack/core/graph"
)

// Summary tells how a job went, for the log.
type Summary struct {
	// Took is the time from acceptance to the end, Waited that to the first start.
	Took, Waited time.Duration
	// Objective is the time within which the job should have finished, by its estimates.
	Objective time.Duration
	// Failures counts the runs that ended as failed.
	Failures int
	// Stops names the reasons for which units were stopped, with their number.
	Stops string
}

// Summary returns how a job went.
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

// objective is the time within which a job should finish.
func (p *Planner) objective(j *jobState) time.Duration {
	chain := p.estimator.expect(j.Queue, j.Chain())
	return time.Duration(j.queue.Stretch*float64(chain)) + j.queue.Target
}
