package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/job"
	"auburnstack/core/shape"
	"auburnstack/core/timeline"
	"auburnstack/io/jobs"
	"auburnstack/standin/memstore"
)

const (
	// outageSeeds is the number of random schedules of TestAcceptedJobsStart.
	outageSeeds = 30
	// startBound is the time within which each accepted job must start once the store is back. The fleet has room for all
	// of them. A new scheduler may have to wait for 9.5 s until the leases of its predecessor have expired, and a sweep
	// finds each job within 5 s.
	startBound = 15 * time.Second
	// smallWatch is a size of watch answers that a few rewritten pages exceed.
	smallWatch = 2 << 10
)

// hangUpAfter submits a job as a caller does that closes its connection as soon as it has the reply.
func (s *session) hangUpAfter(owner account.Name, kind string, n int) {
	ctx, hangUp := context.WithCancel(context.Background())
	defer hangUp()
	submission := jobs.Submission{
		ID: job.ID(fmt.Sprintf("%s/%d", kind, n)), Kind: "Sample", Shape: shape.Shape{Members: 1, Accelerators: 1},
		Payload: []byte(`{"Duration":300000000}`),
	}
	for range 40 {
		if _, err := s.nextNode().Jobs.Submit(ctx, owner, submission); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.accepted = append(s.accepted, job.ID(string(owner)+":"+string(submission.ID)))
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// started returns the times of the first starts of all jobs.
func (f *fleet) started() map[job.ID]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := map[job.ID]time.Time{}
	for _, e := range f.events {
		if _, known := times[job.ID(e.Subject)]; e.Kind == timeline.JobStarted && !known {
			times[job.ID(e.Subject)] = e.Stamp.Time()
		}
	}
	return times
}

// TestNoticeOutlivesItsCaller checks that a job which is accepted by the scheduler's own VM starts at once although the
// caller has closed its connection, and not only when the next sweep finds the job.
func TestNoticeOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.close()
		s := &session{fleet: f}
		s.put(0, poolsText)
		time.Sleep(workStarts + 10*time.Second)
		for n := range 16 {
			s.hangUpAfter("Auditors", "one", n)
			// Less than the time between two sweeps.
			time.Sleep(time.Second)
			id := s.accepted[n]
			_, started := f.started()[id]
			qt.Check(t, started, qt.IsTrue, qt.Commentf("%s has not started", id))
		}
	})
}

// TestAcceptedJobsStart checks that each accepted job starts within a bounded time, although a VM is killed, another
// one leaves, the store is down for 4 s, callers close their connections, and the history of the job pages is too long
// for one answer of the store.
func TestAcceptedJobsStart(t *testing.T) {
	for seed := range uint64(outageSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkAcceptedJobsStart(t, seed) })
		})
	}
}

func checkAcceptedJobsStart(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	f := newFleet(seed)
	s := &session{fleet: f}
	f.store.Service().SetFaults(memstore.Faults{WatchBytes: smallWatch})
	s.put(0, poolsText)
	time.Sleep(workStarts)
	killed, leaver := f.list.VMs[random.IntN(2)], f.list.VMs[2+random.IntN(2)]
	killedAt, leavesAt, downAt := between(0, 8*time.Second), between(0, 8*time.Second), between(8*time.Second, 11*time.Second)
	f.background.Go(func() { time.Sleep(killedAt); f.crash(killed) })
	f.background.Go(func() { time.Sleep(leavesAt); f.replace(leaver, int(seed)) })
	var back time.Time
	f.background.Go(func() {
		time.Sleep(downAt)
		f.store.Service().SetFaults(memstore.Faults{Down: true, WatchBytes: smallWatch})
		time.Sleep(4 * time.Second)
		f.store.Service().SetFaults(memstore.Faults{WatchBytes: smallWatch})
		back = time.Now()
	})
	for n := range 100 {
		s.calls.Go(func() { s.hangUpAfter("Auditors", "batch", n) })
		time.Sleep(between(50*time.Millisecond, 350*time.Millisecond))
	}
	s.calls.Wait()
	time.Sleep(startBound)
	started := f.started()
	for _, id := range s.accepted {
		_, known := started[id]
		qt.Check(t, known, qt.IsTrue, qt.Commentf("%s has not started %v after the store's return", id, time.Since(back)))
	}
	f.background.Wait()
	f.close()
}
