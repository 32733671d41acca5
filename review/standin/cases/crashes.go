package main

import (
	"errors"
	"math/rand/v2"
	"time"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// lastingTasks is the number of tasks of the job that lasts.
	lastingTasks = 150
	// flapShare is the share of the workers that go down and up by turns, flapPeriod the time of one turn, and flapTime
	// the time for which they do.
	flapShare  = 0.1
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
	// flapPause is the pause between two such times, flaps their largest number.
	flapPause = 4 * time.Second
	flaps     = 6
)

// playLastingCrashes lets some workers go down and up by turns under a job that lasts, and looks whether the job is
// shown as failed (LOST).
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
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	time.Sleep(5 * time.Second)
	for range flaps {
		if trouble {
			flap(site, random)
		} else {
			time.Sleep(flapTime)
		}
		time.Sleep(flapPause)
		if a := site.Call(site.VMs[1], "GET", id, nil); a.Body == `{"state":"failed"}` {
			return broken("the job is shown as failed; %d of its runs have ended failed, and nobody has cancelled it",
				countEvents(record, "failed"))
		}
	}
	return verdict{}
}

// flap lets workers go down and up by turns.
func flap(site *platform.Site, random *rand.Rand) {
	chosen := random.Perm(len(site.Workers))[:int(flapShare*float64(len(site.Workers)))]
	for deadline := time.Now().Add(flapTime); time.Now().Before(deadline); {
		for _, i := range chosen {
			site.Workers[i].Crash()
		}
		time.Sleep(flapPeriod / 2)
		for _, i := range chosen {
			site.Workers[i].Restart(time.Now().UnixMilli())
		}
		time.Sleep(flapPeriod / 2)
	}
}

// countEvents returns the number of events of a kind.
func countEvents(record *platform.Record, what string) int {
	count := 0
	for _, e := range record.Events() {
		if e.What == what {
			count++
		}
	}
	return count
}
