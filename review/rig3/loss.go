package main

import "time"

// lossWatch checks the last part of the rule LOST for one job: for 3 s it has nothing running while its turn has come,
// there is capacity for it twice over, and under half of the service's capacity is in use.
type lossWatch struct {
	site     *site
	id, kind string
	// service names the workers that run the job's tasks, by the configuration in force.
	service string
	needs   needs
	// since is the time since which that holds, longest the longest time for which it held.
	since   time.Time
	longest time.Duration
}

// look looks at the workers once.
func (l *lossWatch) look() {
	tasks, share := l.site.fleet.room(l.service, l.kind, l.needs)
	if l.site.fleet.runsOf(l.id) > 0 || tasks < 2 || share >= 0.5 {
		if held := l.held(); held >= lossWindow {
			l.site.record.Add("job %s had nothing running for %.2f s", l.id, held.Seconds())
		}
		l.since = time.Time{}
		return
	}
	if l.since.IsZero() {
		l.since = time.Now()
	}
	if l.held() >= lossWindow && l.longest < lossWindow {
		l.site.record.Add("BROKEN: job %s has had nothing running for 3 s, with capacity for %d of its tasks and %.0f %% in use",
			l.id, tasks, 100*share)
	}
	l.longest = max(l.longest, l.held())
}

// held returns the time for which the condition has held until now.
func (l *lossWatch) held() time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return time.Since(l.since)
}
