package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
	"auburnstack/io/election"
	"auburnstack/io/policywatch"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

const (
	// testRetention is the retention time of jobs in these tests.
	testRetention = time.Minute
	// manyTasks is the number of tasks of a job whose progress has several parts.
	manyTasks = 150
)

// removalFault is what happens to a transaction that removes records.
type removalFault int

const (
	// answerLost means that the transaction is carried out and not answered.
	answerLost removalFault = iota
	// requestLost means that the transaction is not carried out and not answered.
	requestLost
	// refused means that the store refuses the transaction.
	refused
	// carriedOutLate means that the transaction is not answered and carried out after lateness.
	carriedOutLate
)

// lateness is the time after which late transactions are carried out.
const lateness = 3 * time.Second

// removalFaults lists the faults by their names.
var removalFaults = map[string]removalFault{
	"answer lost": answerLost, "request lost": requestLost, "refused": refused, "late": carriedOutLate,
}

// faultyStore is a store in which one transaction that removes records fails, and all later ones if down is set.
type faultyStore struct {
	store.Store
	fault removalFault
	down  bool

	mu sync.Mutex
	// left is the number of transactions that are carried out before the fault. removals counts all.
	left, removals int
}

// Commit implements store.Store.
func (s *faultyStore) Commit(ctx context.Context, t store.Transaction) (store.Revision, error) {
	if len(t.Removes) == 0 {
		return s.Store.Commit(ctx, t)
	}
	s.mu.Lock()
	s.removals++
	s.left--
	first, failed := s.left == -1, s.left == -1 || s.left < 0 && s.down
	s.mu.Unlock()
	switch {
	case !failed:
		return s.Store.Commit(ctx, t)
	case s.fault == refused:
		return 0, store.ErrRefused
	case s.fault == answerLost && first:
		if _, err := s.Store.Commit(ctx, t); err != nil {
			return 0, err
		}
	case s.fault == carriedOutLate && first:
		time.AfterFunc(lateness, func() {
			// Nobody learns of the outcome.
			_, _ = s.Store.Commit(context.Background(), t)
		})
	}
	<-ctx.Done()
	return 0, store.ErrUnanswered
}

// removalSite is a store with jobs that have ended, and the terms of its leaders.
type removalSite struct {
	t       *testing.T
	service *memstore.Service
	states  map[graph.ID]graph.State
}

// newRemovalSite stores jobs that ended longer ago than the retention time: complete, failed and canceled ones, with
// one part of progress or with several. The canceled ones have a cancellation, as has one that was complete before.
func newRemovalSite(t *testing.T) *removalSite {
	s := &removalSite{t: t, service: memstore.New(1), states: map[graph.ID]graph.State{}}
	for i := range 60 {
		state := []graph.State{graph.Complete, graph.Canceled, graph.Failed}[i%3]
		tasks := 1
		if i%4 == 0 {
			tasks = manyTasks
		}
		id := graph.ID(fmt.Sprintf("%016x", i))
		s.add(id, tasks, state)
		if state == graph.Canceled || i == 0 {
			s.service.Put(CancelKey(id), []byte("a"))
		}
	}
	return s
}

// add stores a job and all parts of its progress.
func (s *removalSite) add(id graph.ID, tasks int, state graph.State) {
	s.put(JobKey(id), removalJob(id, tasks))
	progress := graph.Progress{ID: id, State: state, Ended: time.Now().Add(-2 * testRetention)}
	for index := range tasks {
		progress.Units = append(progress.Units, graph.UnitProgress{Index: index, Run: 1, Done: true})
	}
	const partTasks = 64
	parts := (tasks + partTasks - 1) / partTasks
	for part := range parts {
		record := graph.Progress{ID: id, Part: part, Units: progress.Units[part*partTasks : min((part+1)*partTasks, tasks)]}
		if parts > 1 {
			record.Parts = parts
		}
		if part == 0 {
			record.State, record.Ended = progress.State, progress.Ended
		}
		s.put(partKey(id, part), record)
	}
	s.states[id] = state
}

func (s *removalSite) put(key string, value any) {
	encoded, err := json.Marshal(value)
	qt.Assert(s.t, err, qt.IsNil)
	s.service.Put(key, encoded)
}

func removalJob(id graph.ID, tasks int) *graph.Job {
	return &graph.Job{
		ID: id, Queue: "long", Accepted: time.Now().Add(-3 * testRetention), Steps: []graph.Step{{
			Tasks: tasks, Needs: resources.Amounts{Accelerators: 1}, AbsenceLimit: -1,
		}},
	}
}

func removalPolicy() *policy.Policy {
	return &policy.Policy{Queues: []policy.Queue{{Name: "long", Service: "assay", Priority: 1}}}
}

// lead makes a VM the leader, which loads all records. Its term uses the given store.
func (s *removalSite) lead(client store.Store) *term {
	s.service.Put(election.Key, []byte("{}"))
	item, err := s.service.Client().Get(context.Background(), election.Key)
	qt.Assert(s.t, err, qt.IsNil)
	leader := newTestTerm(&scriptedWorker{})
	leader.config.Store, leader.config.Settings.RetainFinal = client, testRetention
	leader.config.Memory = jobmemory.NewAccount(0)
	leader.config.Policy = func() *policywatch.Snapshot { return &policywatch.Snapshot{Policy: removalPolicy()} }
	leader.role.Resign()
	leader.role = election.NewRole(context.Background(), item.Revision, 1, func() time.Duration { return 0 }, time.Hour)
	leader.orders = newOrders(leader.role.Context(), leader)
	_, err = leader.loadRecords(context.Background())
	qt.Assert(s.t, err, qt.IsNil)
	return leader
}

// runRemoval does the periodic work of a leader for the given time.
func (t *term) runRemoval(ctx context.Context, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		t.removeOldJobs(ctx)
		t.step()
		time.Sleep(tickInterval)
		synctest.Wait()
		for len(t.events) > 0 {
			t.handle(<-t.events)
		}
	}
}

// endRemoval ends a term, as a VM that is killed.
func (t *term) endRemoval() {
	t.role.Resign()
	t.work.Wait()
}

// checkNext checks what a leader finds: each job that is still accepted has ended as before, and nothing starts.
func (s *removalSite) checkNext(next *term) {
	for id, state := range s.states {
		found, known := next.planner.State(id)
		if known {
			qt.Check(s.t, found, qt.Equals, state, qt.Commentf("%s", id))
		}
	}
	qt.Check(s.t, next.planner.Pending(), qt.HasLen, 0)
	now := time.Now()
	next.planner.SetWorkers([]roster.Worker{{
		Name: "w", Service: "assay", Incarnation: 1, Capacity: resources.Amounts{Accelerators: manyTasks},
	}}, now)
	next.planner.SetResponsive("w", true)
	next.planner.Tick()
	next.planner.Plan(now)
	qt.Check(s.t, next.planner.HasChanges(), qt.IsFalse, qt.Commentf("a job that has ended is placed again"))
}

// checkRemoved checks that no records are left.
func (s *removalSite) checkRemoved() {
	qt.Check(s.t, s.service.Keys(InboxPrefix), qt.HasLen, 0)
	qt.Check(s.t, s.service.Keys(progressPrefix), qt.HasLen, 0)
}

// countRemovals returns the number of transactions that remove all records if none fails.
func countRemovals(t *testing.T) int {
	count := 0
	synctest.Test(t, func(t *testing.T) {
		s := newRemovalSite(t)
		client := &faultyStore{Store: s.service.Client(), left: 1 << 20}
		leader := s.lead(client)
		leader.runRemoval(leader.role.Context(), 10*time.Second)
		leader.endRemoval()
		s.checkRemoved()
		count = client.removals
	})
	return count
}

// TestRemovalThatIsCutOff stops the removal of old jobs at each of its transactions and lets another VM lead. Guards
// against TWICE: jobs that were complete or canceled ran again, as their progress was removed and they were not.
func TestRemovalThatIsCutOff(t *testing.T) {
	for name, fault := range removalFaults {
		for point := range countRemovals(t) {
			t.Run(fmt.Sprintf("%s/%d", name, point), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRemovalSite(t)
					client := &faultyStore{Store: s.service.Client(), left: point, fault: fault, down: true}
					leader := s.lead(client)
					leader.runRemoval(leader.role.Context(), 10*time.Second)
					leader.endRemoval()
					next := s.lead(s.service.Client())
					s.checkNext(next)
					next.runRemoval(next.role.Context(), 10*time.Second)
					next.endRemoval()
					s.checkRemoved()
				})
			})
		}
	}
}

// TestRemovalIsFinished lets each transaction of a removal fail once, under a leader that goes on.
// Guards against records that stay in the store until another VM leads, because one answer was lost.
func TestRemovalIsFinished(t *testing.T) {
	for name, fault := range removalFaults {
		for point := range countRemovals(t) {
			t.Run(fmt.Sprintf("%s/%d", name, point), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRemovalSite(t)
					leader := s.lead(&faultyStore{Store: s.service.Client(), left: point, fault: fault})
					leader.runRemoval(leader.role.Context(), 20*time.Second)
					qt.Check(t, leader.role.Valid(), qt.IsTrue)
					s.checkRemoved()
					leader.endRemoval()
				})
			})
		}
	}
}

// TestLaterJobWithSameID submits a job under the ID of one that was just removed, while an attempt of the removal is
// still on its way to the store.
// Guards against LOST: the later job was taken for a remainder of the earlier one, and its records were removed.
func TestLaterJobWithSameID(t *testing.T) {
	const id = graph.ID("0000000000000000")
	for point := range 2 {
		synctest.Test(t, func(t *testing.T) {
			s := &removalSite{t: t, service: memstore.New(1), states: map[graph.ID]graph.State{}}
			s.add(id, manyTasks, graph.Complete)
			leader := s.lead(&faultyStore{Store: s.service.Client(), left: point, fault: carriedOutLate})
			leader.runRemoval(leader.role.Context(), 2*time.Second)
			s.checkRemoved()

			later := removalJob(id, manyTasks)
			later.Accepted = time.Now()
			s.put(JobKey(id), later)
			leader.handle(jobsAccepted{jobs: []*graph.Job{later}})
			leader.planner.Cancel(id, time.Now())
			leader.runRemoval(leader.role.Context(), lateness)
			qt.Check(t, s.service.Keys(InboxPrefix), qt.DeepEquals, []string{JobKey(id)})
			qt.Check(t, s.service.Keys(progressPrefix), qt.DeepEquals, []string{ProgressKey(id)})
			leader.endRemoval()
		})
	}
}
