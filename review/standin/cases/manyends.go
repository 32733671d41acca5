package main

import (
	"errors"
	"hash/fnv"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// manyTasks is the number of small tasks of the job; some 850 of them fit on one worker.
	manyTasks = 1600
	// outage is the time for which the platform's store is down.
	outage = 4500 * time.Millisecond
	// outageAfter is the time from the first start to the outage.
	outageAfter = 5 * time.Second
)

// playManyEnds lets more than 500 tasks of one worker end while the platform's store is down, and looks for tasks that
// start again after they have ended done (TWICE).
func playManyEnds(record *platform.Record, trouble bool) verdict {
	// The tasks take 5.5 to 9 s.
	plan := taskworker.Plan{Work: func(task string) time.Duration {
		sum := fnv.New32a()
		_, _ = sum.Write([]byte(task))
		return 5500*time.Millisecond + time.Duration(sum.Sum32()%3500)*time.Millisecond
	}}
	site, err := platform.Start(record, 3, 8, func(string) taskworker.Plan { return plan })
	if err != nil {
		return verdict{err: err}
	}
	defer site.Close()
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	a := site.Call(site.VMs[0], "POST", id, map[string]any{
		"spec":  "warranty batch",
		"steps": []map[string]any{{"count": manyTasks, "cpu": 150, "memMb": 256, "estimateMs": 7000}},
	})
	if !a.Accepted() {
		return verdict{err: errors.New("the job was not accepted")}
	}
	if !awaitEvent(record, 10*time.Second, func(e *taskworker.Event) bool { return e.What == "start" }) {
		return verdict{err: errors.New("no task has started")}
	}
	time.Sleep(outageAfter)
	if trouble {
		record.Note("the platform's store is down (silent) for %s", outage)
		site.Store.SetDown(true)
		time.Sleep(outage)
		for _, w := range site.Workers {
			record.Note("%s lists %d ends that were not taken note of", w.ID, w.Unacknowledged())
		}
		site.Store.SetDown(false)
		record.Note("the platform's store answers again")
	}
	deadline := time.Now().Add(40 * time.Second)
	for state := ""; state != `{"state":"complete"}` && time.Now().Before(deadline); {
		time.Sleep(time.Second)
		state = site.Call(site.VMs[1], "GET", id, nil).Body
	}
	time.Sleep(2 * time.Second)
	return verdict{breaks: startsAfterDone(record)}
}

// awaitEvent waits until an event fulfills a condition, and reports whether one did in time.
func awaitEvent(record *platform.Record, limit time.Duration, found func(e *taskworker.Event) bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, e := range record.Events() {
			if found(e) {
				return true
			}
		}
	}
	return false
}
