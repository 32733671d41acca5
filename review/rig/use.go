package main

import (
	"strings"
	"sync"
	"time"
)

const (
	// finish is the time after the end of the traffic from which on no job may wait beside free capacity (finish_s).
	finish = 14 * time.Second
	// unused is the time for which a job must not have nothing running then.
	unused = 3 * time.Second
)

// use tells for how long nothing has run at a time. The cases that ask have one job, which leaves over half of the
// capacity unused.
type use struct {
	// job is the ID of the job whose runs count; empty if all do.
	job string

	mu              sync.Mutex
	running, starts int
	// since is when the present idle span began. It counts from the call of begin on.
	since   time.Time
	longest time.Duration
	counts  bool
}

// watchUse watches the runs of a job on all workers of a site, or of all jobs if it is empty.
func watchUse(s *site, job string) *use {
	u := &use{job: job, since: time.Now()}
	for _, m := range s.cloud.machines {
		u.watch(m.worker)
	}
	return u
}

// watch watches the runs on a worker.
func (u *use) watch(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = func(r *taskRun) {
		if !strings.HasPrefix(r.task, u.job) {
			return
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		u.endSpan()
		u.running++
		u.starts++
	}
	w.onEnd = func(r *taskRun, _ string) {
		if !strings.HasPrefix(r.task, u.job) {
			return
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
		u.since = time.Now()
	}
}

// endSpan takes the present idle span into account. The caller must hold the lock.
func (u *use) endSpan() {
	if u.running == 0 && u.counts {
		u.longest = max(u.longest, time.Since(u.since))
	}
}

// begin makes the idle spans count from now on.
func (u *use) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts = true
	if u.running == 0 {
		u.since = time.Now()
	}
}

// result returns the longest idle span and the number of runs that have begun.
func (u *use) result() (longest time.Duration, starts int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endSpan()
	return u.longest.Round(time.Millisecond), u.starts
}
