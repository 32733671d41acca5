package main

import (
	"errors"
	"fmt"
	"time"

	"auburnstack/review/kvstore"
	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// lateBy is the time by which the store carries out writes late whose answers are lost.
	lateBy = 6 * time.Second
	// losing is the time for which answers of the store are lost, and maxLostShare the largest share of the writes.
	losing       = 4500 * time.Millisecond
	maxLostShare = 0.35
	// contact is contactMs and cancelTime is cancel_ms.
	contact    = 3 * time.Second
	cancelTime = 3 * time.Second
)

// playCancelOvertakes cancels a job whose submission had no outcome, and looks for its tasks after the cancelling was
// acknowledged (UNASKED).
func playCancelOvertakes(record *platform.Record, trouble bool) verdict {
	plan := taskworker.Plan{Work: func(string) time.Duration { return 4 * time.Second }}
	site, err := platform.Start(record, 3, 8, func(string) taskworker.Plan { return plan })
	if err != nil {
		return verdict{err: err}
	}
	defer site.Close()
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	writes, lost := 0, 0
	calm := time.Now()
	if trouble {
		// The last late write may be carried out lateBy after the answers are no longer lost.
		calm = calm.Add(losing + lateBy + contact)
		record.Note("for %s answers of the store are lost: writes are carried out %s late", losing, lateBy)
		until := time.Now().Add(losing)
		site.Store.SetDelay(func(t *kvstore.Transaction) time.Duration {
			if time.Now().After(until) {
				return 0
			}
			writes++
			if !t.Writes(id) {
				return 0
			}
			lost++
			return lateBy
		})
	}
	for i := range 12 {
		go site.Call(site.VMs[i%3], "POST", fmt.Sprintf("%016x", 0xab5400+i), job(1))
	}
	submitted := site.Call(site.VMs[0], "POST", id, job(4))
	canceled := site.Call(site.VMs[1], "DELETE", id, nil)
	acknowledged := time.Now()
	if !canceled.Accepted() && canceled.Status != 410 {
		return verdict{err: errors.New("the cancelling was not acknowledged")}
	}
	time.Sleep(26 * time.Second)
	site.Call(site.VMs[1], "GET", id, nil)
	site.Store.SetDelay(nil)
	if trouble {
		record.Note("of %d writes in that time, %d were lost", writes, lost)
		if submitted.Accepted() || float64(lost) > maxLostShare*float64(writes) {
			return verdict{err: fmt.Errorf("%d of %d writes were lost", lost, writes)}
		}
	}
	return verdict{breaks: startsAfterCancel(record, id, acknowledged, calm)}
}

// job returns a job with the given number of steps, one after the other.
func job(steps int) map[string]any {
	list := []map[string]any{{"count": 2, "cpu": 1000, "memMb": 1024, "estimateMs": 4000}}
	for i := 1; i < steps; i++ {
		list = append(list, map[string]any{
			"count": 2, "cpu": 1000, "memMb": 1024, "estimateMs": 4000, "after": []int{i - 1},
		})
	}
	return map[string]any{"spec": "fire assay", "steps": list}
}

// startsAfterCancel returns the starts of a job's tasks later than cancelTime after the cancelling was acknowledged and
// when the store has been without disruption for contactMs.
func startsAfterCancel(record *platform.Record, id string, acknowledged, calm time.Time) []string {
	var breaks []string
	for _, e := range record.Events() {
		if e.What != "start" || platform.JobOf(e.Task) != id {
			continue
		}
		if e.At.After(acknowledged.Add(cancelTime)) && e.At.After(calm) {
			breaks = append(breaks, fmt.Sprintf("%s run %d starts on %s %.1f s after the cancelling was acknowledged",
				e.Task, e.Run, e.Worker, e.At.Sub(acknowledged).Seconds()))
		}
	}
	return breaks
}
