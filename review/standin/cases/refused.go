package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"auburnstack/review/kvstore"
	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

const (
	// lostShare is the share of the store's writes that are not answered and carried out one to six seconds late, losing
	// the time for which that goes on, and losses the largest number of such times, with losingPause between them.
	lostShare   = 0.35
	losses      = 8
	losingPause = 5 * time.Second
	// submitInterval is the time between two submissions.
	submitInterval = 15 * time.Millisecond
)

// playRefusedRuns hands in jobs, each once, while answers of the store are lost, and looks for tasks of jobs whose only
// submission was rejected (REFUSED).
func playRefusedRuns(record *platform.Record, trouble bool) verdict {
	plan := taskworker.Plan{Work: func(string) time.Duration { return time.Second }}
	site, err := platform.Start(record, 4, 12, func(string) taskworker.Plan { return plan })
	if err != nil {
		return verdict{err: err}
	}
	defer site.Close()
	time.Sleep(2 * time.Second)
	rejected := &rejections{jobs: map[string]time.Time{}}
	for i := range losses {
		if trouble {
			record.Note("for %s the answers of %.2f of the writes are lost", losing, lostShare)
			site.Store.SetDelay(func(*kvstore.Transaction) time.Duration {
				if rand.Float64() >= lostShare {
					return 0
				}
				return time.Second + rand.N(5*time.Second)
			})
		}
		submitFor(site, losing, i, rejected)
		site.Store.SetDelay(nil)
		time.Sleep(losingPause)
		if breaks := startsOfRejected(record, rejected); len(breaks) > 0 {
			return verdict{breaks: breaks}
		}
	}
	return verdict{}
}

// rejections holds the jobs whose only submission was rejected, with the times of the rejections.
type rejections struct {
	mu   sync.Mutex
	jobs map[string]time.Time
}

// submitFor hands in jobs for some time, each once, and records which were rejected.
func submitFor(site *platform.Site, duration time.Duration, round int, rejected *rejections) {
	var calls sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < duration; i++ {
		calls.Go(func() {
			id := fmt.Sprintf("%016x", 0xab5400000000+round<<16+i)
			a := site.Call(site.VMs[i%len(site.VMs)], "POST", id, job(1))
			if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
				rejected.mu.Lock()
				defer rejected.mu.Unlock()
				rejected.jobs[id] = time.Now()
			}
		})
		time.Sleep(submitInterval)
	}
	calls.Wait()
}

// startsOfRejected returns the starts of jobs whose only submission was rejected.
func startsOfRejected(record *platform.Record, rejected *rejections) []string {
	rejected.mu.Lock()
	defer rejected.mu.Unlock()
	record.Note("%d submissions were rejected so far", len(rejected.jobs))
	var breaks []string
	for _, e := range record.Events() {
		if at, found := rejected.jobs[platform.JobOf(e.Task)]; found && e.What == "start" {
			breaks = append(breaks, fmt.Sprintf(
				"%s run %d starts on %s at %.3f, though the only submission of its job was rejected at %.3f",
				e.Task, e.Run, e.Worker, record.Offset(e.At), record.Offset(at)))
		}
	}
	return breaks
}
