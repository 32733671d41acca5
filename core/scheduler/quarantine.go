package scheduler

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/job"
)

const (
	// quarantineAfter is the number of different jobs that must fail on a worker, with no success between them.
	quarantineAfter = 3
	// quarantineTime is how long a worker gets no work.
	quarantineTime = 5 * time.Minute
	// quarantineDivisor bounds the quarantined part of the workers to a tenth, at least one.
	quarantineDivisor = 10
)

// quarantine keeps work from workers that fail everything.
type quarantine struct {
	failedJobs map[endpoint.Name]map[job.ID]bool
	until      map[endpoint.Name]time.Time
}

func newQuarantine() *quarantine {
	return &quarantine{failedJobs: map[endpoint.Name]map[job.ID]bool{}, until: map[endpoint.Name]time.Time{}}
}

func (q *quarantine) recordFailure(name endpoint.Name, id job.ID) bool {
	if q.failedJobs[name] == nil {
		q.failedJobs[name] = map[job.ID]bool{}
	}
	q.failedJobs[name][id] = true
	return len(q.failedJobs[name]) >= quarantineAfter
}

// WorkerSucceeded notes that a job ended well on a worker.
func (s *Scheduler) WorkerSucceeded(name endpoint.Name) {
	delete(s.quarantine.failedJobs, name)
}

// WorkerFailed notes that a job failed on a worker, and tells whether the worker is now kept from work for a while.
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

// Quarantined tells whether a worker is kept from work.
func (s *Scheduler) Quarantined(name endpoint.Name) bool {
	_, quarantined := s.quarantine.until[name]
	return quarantined
}

// releaseQuarantined gives workers another chance after their time.
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
