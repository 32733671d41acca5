package scheduler

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnstack/core/cell"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
	"auburnstack/core/table"
)

const (
	testWorkers    = 12
	workersPerRack = 4
)

// testDriver reports events to one scheduler and carries out its actions. Jobs end only when the test ends them.
type testDriver struct {
	t         *rapid.T
	scheduler *Scheduler
	tables    *table.Tables
	now       time.Time
	running   map[job.ID]Launch
	jobs      map[job.ID]Job
	lost      map[endpoint.Name]bool
	// stopping holds the stopped jobs whose end has not yet been reported to the scheduler, with the reasons.
	stopping map[job.ID]StopReason
	// slowStops delays the end of stopped jobs until endStopped is called.
	slowStops bool
	// openJobs holds the jobs that have neither ended nor been canceled.
	openJobs map[job.ID]bool
	jobCount int
	revision table.Revision
}

func newTestDriver(t *rapid.T) *testDriver {
	settings := DefaultSettings()
	settings.ReturnRamp = 0
	settings.MoveAfter = 0
	s := &testDriver{
		t: t, scheduler: New("North", settings), now: time.Unix(0, 0), running: map[job.ID]Launch{},
		jobs: map[job.ID]Job{}, lost: map[endpoint.Name]bool{},
		stopping: map[job.ID]StopReason{}, openJobs: map[job.ID]bool{},
	}
	for i := range testWorkers {
		s.scheduler.AddWorker(s.worker(i))
	}
	s.putPools(2, 2, true)
	return s
}

func (s *testDriver) worker(i int) endpoint.Endpoint {
	return endpoint.Endpoint{
		Name: endpoint.Name(fmt.Sprintf("w%02d", i)), FailureDomain: "North",
		Rack: endpoint.Rack(fmt.Sprintf("r%d", i/workersPerRack)), Accelerators: 8,
	}
}

// putPools sets a pools table with the pool Large, whose blocks have the shape 2x8, and the pool Small, whose blocks
// have the shape 1x4. The arguments large and small are the numbers of blocks of these pools. The argument in is false
// if the failure domain is taken out.
func (s *testDriver) putPools(large, small int, in bool) {
	state := "In"
	if !in {
		state = "Out"
	}
	text := fmt.Sprintf("[Pool.Large]\nClientAccount = A\nShape = 2x8\nCount = %d\nFailureDomains = North\n"+
		"[Pool.Small]\nClientAccount = B\nShape = 1x4\nCount = %d\nFailureDomains = North\n"+
		"[FailureDomain.North]\nState = %s\n", large, small, state)
	s.revision++
	tables, err := table.Parse(s.revision, "", text)
	if err != nil {
		s.t.Fatal(err)
	}
	s.tables = tables
	s.scheduler.SetTables(tables, s.now)
}

func (s *testDriver) submit(name pool.Name, wanted shape.Shape, class route.Class) job.ID {
	s.jobCount++
	j := Job{ID: job.ID(fmt.Sprintf("j%d", s.jobCount)), Pool: name, Class: class, Shape: wanted, Submitted: s.now}
	s.jobs[j.ID] = j
	s.openJobs[j.ID] = true
	s.scheduler.Submit(j)
	return j.ID
}

// settle carries out decisions until there are none. Stopped jobs end at once and are queued again, unless slowStops is
// set.
func (s *testDriver) settle() {
	for {
		actions := s.scheduler.Decide(s.now)
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			s.apply(action)
		}
	}
}

func (s *testDriver) apply(action Action) {
	switch a := action.(type) {
	case Launch:
		s.running[a.ID] = a
	case Stop:
		launched, known := s.running[a.ID]
		if a.Reason == Reclaimed && (!known || s.scheduler.gangs[a.ID].term != Borrowed) {
			s.t.Fatalf("job %s (term %s) was stopped for a reclaim although it is not borrowed", a.ID, launched.Term)
		}
		delete(s.running, a.ID)
		s.stopping[a.ID] = a.Reason
		if !s.slowStops {
			s.endStopped()
		}
	case Move:
	}
}

func (s *testDriver) endStopped() {
	for id, reason := range s.stopping {
		delete(s.stopping, id)
		s.scheduler.Ended(id)
		if reason != Canceled {
			s.scheduler.Submit(s.jobs[id])
		}
	}
}

// checkNothingLost checks that every open job either waits or holds accelerators, and that no job does both.
func (s *testDriver) checkNothingLost() {
	for id := range s.openJobs {
		if !s.scheduler.queue.holds(id) && !s.scheduler.Holds(id) {
			s.t.Fatalf("job %s neither waits nor holds accelerators", id)
		}
	}
	for id := range s.scheduler.gangs {
		if s.scheduler.queue.holds(id) {
			s.t.Fatalf("job %s waits although it holds accelerators", id)
		}
	}
}

// checkInvariants checks the conditions that must hold after every event.
func (s *testDriver) checkInvariants() {
	s.checkNothingLost()
	bound := map[cell.Worker]int{}
	for _, list := range s.scheduler.blocks.byPool {
		for _, b := range list {
			s.checkBlock(b, bound)
		}
	}
	for w := range s.scheduler.fleet.Len() {
		worker := cell.Worker(w)
		if s.scheduler.fleet.Overbound(worker) || bound[worker] > 8 {
			s.t.Fatalf("blocks cover %d accelerators of worker %s", bound[worker], s.scheduler.fleet.Name(worker))
		}
		if s.scheduler.fleet.FreeOn(worker) < 0 && len(s.stopping) == 0 {
			s.t.Fatalf("worker %s is overcommitted", s.scheduler.fleet.Name(worker))
		}
	}
	if len(s.lost) == 0 && s.scheduler.blocks.unbound > 0 && len(FindShortages(s.tables, s.endpoints())) == 0 {
		s.t.Fatalf("%d blocks are unbound although FindShortages returns none", s.scheduler.blocks.unbound)
	}
}

func (s *testDriver) checkBlock(b *block, bound map[cell.Worker]int) {
	for i, w := range b.workers {
		bound[w] += b.shape.Accelerators
		if !s.scheduler.fleet.Healthy(w) {
			s.t.Fatalf("a block of pool %s is bound to an unhealthy worker", b.pool)
		}
		if b.used[i] < 0 || b.used[i] > b.shape.Accelerators {
			s.t.Fatalf("a block of pool %s has %d accelerators in use on one worker", b.pool, b.used[i])
		}
	}
}

func (s *testDriver) endpoints() []endpoint.Endpoint {
	var all []endpoint.Endpoint
	for i := range testWorkers {
		all = append(all, s.worker(i))
	}
	return all
}

// claimUnusedBlocks submits a job for every bound and unused block and checks that the job gets guaranteed
// accelerators. The method apply checks that a reclaim stops only borrowed work.
func (s *testDriver) claimUnusedBlocks() {
	if !s.tables.IsIn("North") {
		return
	}
	for _, p := range s.tables.AllPools() {
		for _, b := range append([]*block{}, s.scheduler.blocks.byPool[p.Name]...) {
			if !b.bound() || b.usedTotal > 0 {
				continue
			}
			id := s.submit(p.Name, p.Shape, route.Urgent)
			s.settle()
			if launched, started := s.running[id]; !started || launched.Term != Guaranteed {
				s.t.Fatalf("a job of pool %s did not get an unused block of its pool: %+v", p.Name, launched)
			}
		}
	}
}

// TestGuaranteesHold checks, over random sequences of submissions, ends, cancellations, worker losses and table edits,
// that no job is lost, that no worker is overcommitted, and that every pool can claim its unused blocks in the end.
func TestGuaranteesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestDriver(t)
		shapes := []string{"1x1", "1x4", "1x8", "2x8", "3x2", "4x8"}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				wanted, _ := shape.Parse(rapid.SampledFrom(shapes).Draw(t, "shape"))
				name := rapid.SampledFrom([]pool.Name{"Large", "Small"}).Draw(t, "pool")
				s.submit(name, wanted, route.Class(rapid.IntRange(0, 2).Draw(t, "class")))
			},
			"end": func(t *rapid.T) {
				if id, ok := s.pickRunning(t); ok {
					delete(s.running, id)
					delete(s.openJobs, id)
					s.scheduler.Ended(id)
				}
			},
			"cancel": func(t *rapid.T) {
				id := job.ID(fmt.Sprintf("j%d", rapid.IntRange(1, 30).Draw(t, "job")))
				delete(s.openJobs, id)
				s.scheduler.Cancel(id)
			},
			"lose": func(t *rapid.T) {
				name := s.worker(rapid.IntRange(0, testWorkers-1).Draw(t, "worker")).Name
				s.lost[name] = true
				s.scheduler.WorkerLost(name)
			},
			"return": func(t *rapid.T) {
				e := s.worker(rapid.IntRange(0, testWorkers-1).Draw(t, "worker"))
				delete(s.lost, e.Name)
				s.scheduler.AddWorker(e)
			},
			"edit": func(t *rapid.T) {
				s.putPools(rapid.IntRange(0, 5).Draw(t, "large"), rapid.IntRange(0, 4).Draw(t, "small"), rapid.Bool().Draw(t, "in"))
			},
			"slow": func(*rapid.T) { s.slowStops = true },
			"quick": func(*rapid.T) {
				s.slowStops = false
				s.endStopped()
			},
			"wait": func(*rapid.T) { s.now = s.now.Add(20 * time.Second) },
			"": func(*rapid.T) {
				s.settle()
				s.checkInvariants()
			},
		})
		s.slowStops = false
		s.endStopped()
		s.settle()
		s.claimUnusedBlocks()
		s.checkInvariants()
	})
}

func (s *testDriver) pickRunning(t *rapid.T) (job.ID, bool) {
	if len(s.running) == 0 {
		return "", false
	}
	var ids []string
	for id := range s.running {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	return job.ID(rapid.SampledFrom(ids).Draw(t, "running")), true
}
