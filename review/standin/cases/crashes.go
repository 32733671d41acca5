package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// lastingTasks is the number of tasks of the job that lasts.
	lastingTasks = 60
	// flapShare is the share of the workers that go down and up, flapPeriod the time between two such changes and
	// downTime the time for which each is down.
	flapShare  = 0.1
	flapPeriod = 4 * time.Second
	downTime   = 1400 * time.Millisecond
	flaps      = 18
)

// playLastingCrashes lets some workers crash and come back, again and again, under a job that lasts, and looks whether
// the job is shown as failed (LOST).
func playLastingCrashes(record *platform.Record, trouble bool) verdict {
	plan := taskworker.Plan{Work: func(string) time.Duration { return 0 }}
	site, err := platform.Start(record, 3, 20, func(string) taskworker.Plan { return plan })
	defer site.Close()
	if err != nil {
		return verdict{err: err}
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	a := site.Call(site.VMs[0], "POST", id, map[string]any{
		"spec": "desk service",
		"steps": []map[string]any{{
			"count": lastingTasks, "cpu": 16000, "memMb": 16384, "longRunning": true, "estimateMs": 300,
		}},
	})
	if !a.Accepted() {
		return verdict{err: errors.New("the job was not accepted")}
	}
	random := rand.New(rand.NewPCG(1, 1))
	time.Sleep(5 * time.Second)
	for range flaps {
		if trouble {
			for _, i := range random.Perm(len(site.Workers))[:int(flapShare*float64(len(site.Workers)))] {
				w := site.Workers[i]
				w.Crash()
				time.AfterFunc(downTime, func() { w.Restart(time.Now().UnixMilli()) })
			}
		}
		time.Sleep(flapPeriod)
		if a := site.Call(site.VMs[1], "GET", id, nil); a.Body == `{"state":"failed"}` {
			return broken("the job is shown as failed; none of its runs has ended failed, and nobody has cancelled it")
		}
	}
	_ = fmt.Sprint
	return verdict{}
}
