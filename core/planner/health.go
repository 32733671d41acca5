package planner

import (
	"time"

	"auburnstack/core/graph"
)

const (
	// suspectFailures is the number of different jobs that must fail in a row on a worker before it gets no more.
	suspectFailures = 2
	// minSuspension is how long a suspected worker gets nothing; it doubles with each further failure.
	minSuspension = 4 * time.Second
	// maxSuspension bounds the time for which a worker gets nothing.
	maxSuspension = 16 * time.Second
)

// health judges a worker by how tasks end on it.
type health struct {
	// failedJobs lists the different jobs that failed since the last success.
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
