package scheduler

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/job"
)

const (
	// quarantineAfter is the number of different jobs that must fail on a worker, with no success in between, before the
	// worker is quarantined.
	quarantineAfter = 3
	// quarantineTime is the time for which a quarantined worker gets no work.
	quarantineTime = 5 * time.Minute
	// quarantineDivisor is the divisor of the number of all workers that gives the maximum number of quarantined
	// workers: a tenth of all workers, but at least one worker.
	quarantineDivisor = 10
)

// quarantine tracks failed jobs by worker, and the workers that get no work because too many jobs failed on them.
type quarantine struct {
	// failedJobs holds the jobs that failed on each worker since a job last succeeded there.
	failedJobs map[endpoint.Name]map[job.ID]bool
	// until holds, for each quarantined worker, the time at which its quarantine ends.
	until map[endpoint.Name]time.Time
}

func newQuarantine() *quarantine {
	return &quarantine{failedJobs: map[endpoint.Name]map[job.ID]bool{}, until: map[endpoint.Name]time.Time{}}
}

// recordFailure adds a failed job and reports whether enough different jobs have failed on the worker to quarantine it.
func (q *quarantine) recordFailure(name endpoint.Name, id job.ID) bool {
	if q.failedJobs[name] == nil {
		q.failedJobs[name] = map[job.ID]bool{}
	}
	q.failedJobs[name][id] = true
	return len(q.failedJobs[name]) >= quarantineAfter
}

// WorkerSucceeded records that a job succeeded on a worker: it clears the worker's failures.
func (s *Scheduler) WorkerSucceeded(name endpoint.Name) {
	delete(s.quarantine.failedJobs, name)
}

// WorkerFailed records that a job failed on a worker, and reports whether this failure puts the worker into quarantine.
// The worker is not quarantined if the maximum number of workers is in quarantine already.
func (s *Scheduler) WorkerFailed(name endpoint.Name, id job.ID, now time.Time) bool {
	if !s.quarantine.recordFailure(name, id) || s.Quarantined(name) {
		return false
	}
	if len(s.quarantine.until) >= max(s.fleet.Len()/quarantineDivisor, 1) {
		return false
	}
	s.quarantine.until[name] = now.Add(quarantineTime)
	s.WorkerLeaving(name)
	return true
}

// Quarantined reports whether a worker is in quarantine.
func (s *Scheduler) Quarantined(name endpoint.Name) bool {
	_, quarantined := s.quarantine.until[name]
	return quarantined
}

// releaseQuarantined returns workers to service when their quarantine has ended.
func (s *Scheduler) releaseQuarantined(now time.Time) {
	for name, until := range s.quarantine.until {
		if now.Before(until) {
			continue
		}
		delete(s.quarantine.until, name)
		delete(s.quarantine.failedJobs, name)
		if w, known := s.fleet.Lookup(name); known {
			s.fleet.SetHealthy(w, true)
			s.blocks.bindAll()
			s.dirty = true
		}
	}
}
