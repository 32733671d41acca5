package planner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnstack/core/policy"
	"auburnstack/core/roster"
)

// movingSite is a site with two services whose queues move between these, change and are removed.
type movingSite struct {
	*simulatedSite
	// last holds the settings that each queue has or had last.
	last map[string]policy.Queue
}

func newMovingSite(t *rapid.T) *movingSite {
	s := &movingSite{simulatedSite: newSimulatedSite(t), last: map[string]policy.Queue{}}
	for _, q := range s.policy.Queues {
		s.last[q.Name] = q
	}
	for _, w := range s.workers[3:] {
		w.Service = "spare"
		s.restart(w, "a")
	}
	s.renewAll()
	s.checkFurther = s.checkSettings
	return s
}

// checkSettings checks that a task starts by the settings that its queue has now.
func (s *movingSite) checkSettings(a Start) {
	queue := s.last[s.jobs[a.Task.Job].Queue]
	i := slices.IndexFunc(s.workers, func(w *roster.Worker) bool { return w.Name == a.Worker })
	if service := s.workers[i].Service; service != queue.Service {
		s.t.Fatalf("%s starts in %s, its queue uses %s", a.Task, service, queue.Service)
	}
	u := s.planner.jobs[a.Task.Job].findUnit(a.Task.Occurrence, a.Task.Step, a.Task.Index)
	if u.failures >= queue.MaxAttempts {
		s.t.Fatalf("%s starts after %d failures, its queue allows %d", a.Task, u.failures, queue.MaxAttempts)
	}
}

// setQueues puts a policy in force that has the given queues.
func (s *movingSite) setQueues(queues []policy.Queue) {
	next := *s.policy
	next.Queues = queues
	for _, q := range queues {
		s.last[q.Name] = q
	}
	s.policy = &next
	s.planner.SetPolicy(s.policy)
}

// drawQueues changes all queues at random, and removes some.
func (s *movingSite) drawQueues() {
	var queues []policy.Queue
	for _, q := range testPolicy().Queues[:3] {
		if rapid.IntRange(0, 3).Draw(s.t, "removed") == 0 {
			continue
		}
		q.Service = rapid.SampledFrom([]string{"assay", "spare", "none"}).Draw(s.t, "service")
		q.Priority = rapid.IntRange(0, 2).Draw(s.t, "priority")
		q.MaxAttempts = rapid.IntRange(1, 4).Draw(s.t, "attempts")
		queues = append(queues, q)
	}
	s.setQueues(queues)
}

// checkSums checks what the planner has summed up or copied.
func (s *movingSite) checkSums() {
	lesser := map[*holding]int{}
	for _, w := range s.planner.workersByName {
		for m := range w.members {
			if m.unit.job.queue.Priority > 0 {
				lesser[m.unit.job.holding]++
			}
		}
	}
	for name, h := range s.planner.holdings {
		if h.lesser != lesser[h] {
			s.t.Fatalf("%s has %d tasks that may be stopped for its own work, not %d", name, lesser[h], h.lesser)
		}
	}
	jobs := map[*queue]int{}
	for id, j := range s.planner.jobs {
		jobs[j.queue]++
		if want := s.last[j.Queue]; !j.state.Final() && !j.queue.SameScheduling(&want) {
			s.t.Fatalf("%s has the settings %+v, not %+v", id, j.queue.Queue, want)
		}
	}
	for _, q := range s.planner.queues {
		if q.jobs != jobs[q] {
			s.t.Fatalf("queue %s counts %d jobs, not %d", q.Name, q.jobs, jobs[q])
		}
	}
}

// heal puts all workers and queues into one service.
func (s *movingSite) heal() {
	s.simulatedSite.heal()
	for _, w := range s.workers {
		w.Service = "assay"
		s.restart(w, "a")
	}
	s.renewAll()
	s.setQueues(testPolicy().Queues)
}

// TestJobsFollowTheirQueue changes and removes queues at random. Guards against tasks that start on a service that their
// queue has left, or once more than it allows, and against jobs that wait for such a service for good.
func TestJobsFollowTheirQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newMovingSite(rt)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			switch rapid.IntRange(0, 10).Draw(rt, "event") {
			case 0, 1, 2:
				s.submit()
			case 3, 4:
				s.drawQueues()
			case 5:
				s.endTask(EndDone)
			case 6:
				s.endTask(EndFailed)
			case 7:
				s.sleep(time.Duration(rapid.IntRange(1, 12).Draw(rt, "steps")) * time.Second / 2)
			case 8:
				s.storeDown = false
				s.decide()
				s.takeover()
			case 9:
				chosen := rapid.SampledFrom(s.workers).Draw(rt, "worker")
				s.silent[chosen.Name] = !s.silent[chosen.Name]
			case 10:
				s.storeDown = !s.storeDown
			}
			s.checkSums()
			s.renewAll()
			s.decide()
		}
		s.heal()
		s.finish()
	})
}
