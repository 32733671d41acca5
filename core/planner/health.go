package planner

import (
	"time"

	"auburnstack/core/graph"
)

const (
	// suspectFailures is the number of different jobs that must fail on a worker, without a success in between, before
	// the worker is suspended.
	suspectFailures = 2
	// minSuspension is the length of a worker's first suspension. The length doubles with each further failure.
	minSuspension = 4 * time.Second
	// maxSuspension is the upper limit for the length of a suspension.
	maxSuspension = 16 * time.Second
)

// health tracks the failures of jobs on a worker. A suspended worker gets no new tasks.
type health struct {
	// failedJobs lists the different jobs that failed on the worker since the last success.
	failedJobs     []graph.ID
	suspendedUntil time.Time
	lastSuspension time.Duration
}

func (h *health) suspended(now time.Time) bool {
	return now.Before(h.suspendedUntil)
}

func (h *health) succeeded() {
	*h = health{}
}

// failed records the failure of a job. A repeated failure of the same job does not count as another failure.
func (h *health) failed(id graph.ID, now time.Time) {
	for _, known := range h.failedJobs {
		if known == id {
			return
		}
	}
	h.failedJobs = append(h.failedJobs, id)
	if len(h.failedJobs) >= suspectFailures {
		h.suspend(now)
	}
}

func (h *health) suspend(now time.Time) {
	h.lastSuspension = min(max(2*h.lastSuspension, minSuspension), maxSuspension)
	h.suspendedUntil = now.Add(h.lastSuspension)
}
