package main

import (
	"fmt"
	"net/http"
	"time"
)

// playRemoval loses answers of the store while the records of old jobs are removed, kills the process of a VM after every
// second time, and at last those of all VMs in turn. Without the disruption, no answer is lost.
func playRemoval(s *site, trouble bool) (bool, error) {
	const (
		statusSeconds = 10
		// retention is the time for which the program keeps an ended job: half a minute longer than it must.
		retention = (statusSeconds + 30) * time.Second
		traffic   = 40 * time.Second
		// lostShare, lostTime and lostPause are the doses of the lost answers, lostTimes is their number.
		lostShare = 0.35
		lostTime  = 4500 * time.Millisecond
		lostPause = 500 * time.Millisecond
		lostTimes = 8
		// largeTasks is the number of tasks of every fourth job.
		largeTasks = 70
		perSecond  = 12
		calm       = 4 * time.Second
	)
	s.statusSeconds = statusSeconds
	if err := s.begin(10); err != nil {
		return false, err
	}
	task := needs{CPU: 100, MemMb: 100}
	does := behavior{WorkMs: 300, Needs: task}
	jobs := 0
	begun := time.Now()
	for ; time.Since(begun) < traffic; jobs++ {
		count := 1
		if jobs%4 == 0 {
			count = largeTasks
		}
		if err := s.submit(purityPrefix+jobID(jobs), apiKey, newJob(does, step{Count: count, EstimateMs: does.WorkMs})); err != nil {
			return false, err
		}
		time.Sleep(time.Second / perSecond)
	}
	if !await(10*time.Second, func() bool { return s.fleet.doneOf(jobID(jobs - 1)) }) {
		return false, fmt.Errorf("the last job does not end")
	}
	s.record.Add("%d jobs were handed in", jobs)
	time.Sleep(retention - time.Since(begun))
	for i := range lostTimes {
		if trouble {
			s.record.Add("answers of the store are lost, %.2f of the changes", lostShare)
			s.store.LoseAnswers(lostShare)
		}
		time.Sleep(lostTime)
		s.store.LoseAnswers(0)
		s.record.Add("answers of the store are not lost")
		if i%2 == 1 {
			s.kill(s.vms[i/2%vmCount])
		}
		time.Sleep(lostPause)
	}
	time.Sleep(calm)
	s.killInTurn()
	time.Sleep(calm)
	for i := range jobs {
		if s.fleet.startsOf(jobID(i)) > largeTasks {
			s.call(s.vms[0], http.MethodGet, purityPrefix+jobID(i), apiKey, nil)
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.record.Add("%d tasks have started again after they had ended done", s.fleet.startsAfter)
	return s.fleet.startsAfter > 0, nil
}
