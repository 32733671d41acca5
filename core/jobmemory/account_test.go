package jobmemory_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/jobmemory"
)

// job returns a job with the given number of tasks.
func job(id, tasks int) *graph.Job {
	j := &graph.Job{ID: graph.ID(fmt.Sprintf("%016x", id)), Spec: strings.Repeat("s", graph.MaxSpec)}
	for ; tasks > 0; tasks -= graph.MaxTasks {
		j.Steps = append(j.Steps, graph.Step{Tasks: min(tasks, graph.MaxTasks)})
	}
	return j
}

// TestSingleJobAdmitted checks that a job of the largest size is admitted on an idle site, however little memory a VM
// has.
func TestSingleJobAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, megabytes := range []float64{0, 1, 144, 536} {
		account := jobmemory.NewAccount(jobmemory.NewLimit(megabytes))
		qt.Check(t, account.Reserve(job(1, graph.MaxJobTasks), now), qt.IsTrue)
		// The outcome of the attempt was unknown, so the caller sends the job again.
		qt.Check(t, account.Reserve(job(1, graph.MaxJobTasks), now), qt.IsTrue)
	}
}

// TestSmallJobsAfterLargeOnes checks that small jobs are admitted when no large one is any more, and that they too
// have a limit.
func TestSmallJobsAfterLargeOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	account := jobmemory.NewAccount(jobmemory.NewLimit(144))
	large := 0
	for account.Reserve(job(large, graph.MaxJobTasks), now) {
		large++
	}
	qt.Check(t, large >= 2 && large <= 10, qt.IsTrue, qt.Commentf("%d large jobs", large))
	small := 0
	for account.Reserve(job(1000+small, 5), now) {
		small++
	}
	qt.Check(t, small > 1000, qt.IsTrue, qt.Commentf("%d small jobs", small))
	status := account.Status(now)
	qt.Check(t, status.Taken <= int64(status.Limit), qt.IsTrue)
}

// TestTakenNeverAboveLimit admits, reads and releases jobs in random order on several VMs, each of which spends its
// allowance between two heartbeats. It guards against jobs that are counted neither as admitted nor as held.
func TestTakenNeverAboveLimit(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		limit := jobmemory.NewLimit(144)
		account := jobmemory.NewAccount(limit)
		quotas := []*jobmemory.Quota{jobmemory.NewQuota(0), jobmemory.NewQuota(0), jobmemory.NewQuota(0)}
		var admitted, held int64
		var unread []*graph.Job
		for i := range 2000 {
			if i%20 == 0 {
				// All accepted jobs are read before the next heartbeat.
				for _, j := range unread {
					account.Read(j)
				}
				held, unread = admitted, nil
				account.Reset(held)
				for _, quota := range quotas {
					quota.Set(account.Allowance(len(quotas)+1, now))
				}
			}
			now = now.Add(10 * time.Millisecond)
			j := job(i, 1+random.IntN(graph.MaxJobTasks))
			// Large jobs that another VM accepted without the leader count only when they are read.
			ok := random.IntN(2) == 0 && quotas[random.IntN(len(quotas))].Spend(j) || account.Reserve(j, now)
			if ok {
				admitted += j.Footprint()
				unread = append(unread, j)
			}
			qt.Assert(t, admitted <= int64(limit)+int64(limit)/2, qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, admitted, limit))
		}
		qt.Check(t, admitted > int64(limit)/4, qt.IsTrue)
	}
}

// TestExpiredReservation checks that a job whose submission ended without an outcome takes no memory for ever.
func TestExpiredReservation(t *testing.T) {
	now := time.Unix(1000, 0)
	account := jobmemory.NewAccount(jobmemory.NewLimit(1))
	qt.Check(t, account.Reserve(job(1, graph.MaxJobTasks), now), qt.IsTrue)
	qt.Check(t, account.Reserve(job(2, 1), now), qt.IsFalse)
	qt.Check(t, account.Status(now).Full(), qt.IsTrue)
	now = now.Add(time.Minute)
	qt.Check(t, account.Status(now).Full(), qt.IsFalse)
	qt.Check(t, account.Reserve(job(2, 1), now), qt.IsTrue)
	account.Release(job(2, 1))
	qt.Check(t, account.Status(now).Taken, qt.Equals, int64(0))
}

// TestMinIgnoresUnlimited checks that a VM without a limit does not lift that of others.
func TestMinIgnoresUnlimited(t *testing.T) {
	for _, test := range [][3]jobmemory.Limit{{0, 0, 0}, {0, 5, 5}, {5, 0, 5}, {5, 7, 5}, {7, 5, 5}} {
		qt.Check(t, test[0].Min(test[1]), qt.Equals, test[2])
	}
}

// TestReleaseOfOtherOrigin guards against a leader that holds more jobs than it has memory for: a submission to another
// queue with the ID of a job that was just accepted is rejected, and gave that job's reservation back.
func TestReleaseOfOtherOrigin(t *testing.T) {
	now := time.Unix(1000, 0)
	account := jobmemory.NewAccount(jobmemory.NewLimit(144))
	accepted, other := job(1, 1000), job(1, 1)
	accepted.Queue, other.Queue = "closed", "open"
	qt.Assert(t, account.Reserve(accepted, now), qt.IsTrue)
	taken := account.Status(now).Taken
	qt.Assert(t, account.Reserve(other, now), qt.IsTrue)
	account.Release(other)
	qt.Check(t, account.Status(now).Taken, qt.Equals, taken)
}
