package main

import (
	"errors"
	"fmt"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

// jump is the time by which the time of day of a worker's machine jumps.
const jump = 2400 * time.Millisecond

// playBornEarlier lets a worker go down and up twice while the time of day of its machine jumps ahead and back, so that
// its third life was born earlier, by that time of day, than its second one. It looks whether the tasks that it ran are
// lost (LOST).
func playBornEarlier(record *platform.Record, trouble bool) verdict {
	plan := taskworker.Plan{Work: func(string) time.Duration { return 5 * time.Second }}
	site, err := platform.Start(record, 3, 4, func(string) taskworker.Plan { return plan })
	defer site.Close()
	if err != nil {
		return verdict{err: err}
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	a := site.Call(site.VMs[0], "POST", id, map[string]any{
		"spec":  "purity",
		"steps": []map[string]any{{"count": 16, "cpu": 30000, "memMb": 1024, "estimateMs": 5000}},
	})
	if !a.Accepted() {
		return verdict{err: errors.New("the job was not accepted")}
	}
	time.Sleep(1500 * time.Millisecond)
	w := site.Workers[0]
	if trouble {
		record.Note("the time of day of the machine of %s jumps ahead by %s", w.ID, jump)
		w.Crash()
		time.Sleep(400 * time.Millisecond)
		w.Restart(time.Now().Add(jump).UnixMilli())
		time.Sleep(1200 * time.Millisecond)
		record.Note("the time of day of the machine of %s jumps back by %s", w.ID, jump)
		w.Crash()
		time.Sleep(400 * time.Millisecond)
		w.Restart(time.Now().UnixMilli())
	}
	state := ""
	for range 50 {
		time.Sleep(time.Second)
		if state = site.Call(site.VMs[1], "GET", id, nil).Body; state == `{"state":"complete"}` {
			return verdict{}
		}
	}
	return broken("the job is shown as %s after 50 s though its tasks take 5 s and the workers are idle: %s", state,
		fmt.Sprint(running(site)))
}

// running returns the number of running tasks on all workers.
func running(site *platform.Site) int {
	count := 0
	for _, w := range site.Workers {
		count += w.Running("")
	}
	return count
}
