package main

import (
	"errors"
	"fmt"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// largeTimes is the number of times that the large job's only step runs, all at once, and largeTasks the number of
	// tasks of all of them.
	largeTimes = 4
	largeTasks = 8192
	// zoneDown is the time for which a zone is without power.
	zoneDown = 1500 * time.Millisecond
	// lostAfter is the time for which a job may have nothing running though its turn has come and there is capacity.
	lostAfter = 3 * time.Second
)

// playLargeProgress lets a zone of workers lose power while a job of many tasks runs, and looks whether another job
// that is accepted later starts (LOST).
func playLargeProgress(record *platform.Record, trouble bool) verdict {
	const large, small = "5c0e7a21d94b36f8", "6d1f8b32ea5c4709"
	site, err := platform.Start(record, 3, 48, func(task string) taskworker.Plan {
		if platform.JobOf(task) == small {
			return taskworker.Plan{Work: func(string) time.Duration { return time.Second }}
		}
		return taskworker.Plan{Saves: true, Work: func(string) time.Duration { return 3 * time.Minute }}
	})
	if err != nil {
		return verdict{err: err}
	}
	defer site.Close()
	site.Store.SetOnLarge(func(key string, size int, refused bool) {
		verb := "stores"
		if refused {
			verb = "refuses"
		}
		record.Note("the store %s a value of %d bytes under %s", verb, size, key)
	})
	time.Sleep(2 * time.Second)
	a := site.Call(site.VMs[0], "POST", large, map[string]any{
		"spec": "purity", "repeatCount": largeTimes, "firstRunMs": time.Now().UnixMilli(), "intervalMs": 1,
		"steps": []map[string]any{{
			"count": largeTasks / largeTimes, "cpu": 250, "memMb": 256, "estimateMs": 180000, "checkpointing": true,
		}},
	})
	if !a.Accepted() {
		return verdict{err: errors.New("the large job was not accepted")}
	}
	deadline := time.Now().Add(40 * time.Second)
	for ; runningOf(site, large) < largeTasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return verdict{err: fmt.Errorf("%d of the large job's tasks run", runningOf(site, large))}
		}
	}
	record.Note("all %d tasks of the large job run", largeTasks)
	time.Sleep(5 * time.Second)
	if trouble {
		loseZone(site)
	}
	time.Sleep(15 * time.Second)
	if !site.Call(site.VMs[0], "POST", small, job(1)).Accepted() {
		return verdict{err: errors.New("the small job was not accepted")}
	}
	accepted := time.Now()
	if awaitEvent(record, 5*lostAfter, func(e *taskworker.Event) bool { return platform.JobOf(e.Task) == small }) {
		return verdict{}
	}
	state := site.Call(site.VMs[1], "GET", small, nil)
	return broken("a job is shown as %s %.1f s after it was accepted; none of its tasks has started, and %d of %d tasks "+
		"of the other job run", state.Body, time.Since(accepted).Seconds(), runningOf(site, large), largeTasks)
}

// loseZone crashes the workers of the zone that has no VM of the site. They come back.
func loseZone(site *platform.Site) {
	zone := site.Workers[len(site.VMs)].Zone
	site.Record.Note("the workers of %s lose power for %s", zone, zoneDown)
	for _, w := range site.Workers {
		if w.Zone == zone {
			w.Crash()
		}
	}
	time.Sleep(zoneDown)
	for _, w := range site.Workers {
		if w.Zone == zone {
			w.Restart(time.Now().UnixMilli())
		}
	}
}
