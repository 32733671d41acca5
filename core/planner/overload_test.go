package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// overload describes a site that has more work than its workers can run while some of them fail all that they start.
type overload struct {
	workers int
	// urgent, long and batch are the numbers of waiting jobs.
	urgent, long, batch int
}

// largeOverload is the state in which a leader of a site with 1,100 workers stopped starting anything: minutes of
// arrivals wait, and each unit that has failed avoids other workers than the next one.
var largeOverload = overload{workers: 1100, urgent: 400, long: 150, batch: 250}

const (
	overloadRack    = 12
	overloadDomains = 6
	// failingShare is the share of workers that fail all that they start.
	failingShare = 0.15
	teams        = 24
)

// newOverload returns a planner whose fleet is full of long and batch work, with the given jobs waiting.
func newOverload(o overload) (*Planner, time.Time) {
	now := time.Unix(1000, 0)
	p := New(testSettings(), testPolicy())
	var list []roster.Worker
	for i := range o.workers {
		list = append(list, roster.Worker{
			Name: endpoint.Name(fmt.Sprintf("worker-%05d", i)), Service: "assay", Incarnation: 1,
			FailureDomain: domain.Name(fmt.Sprintf("domain-%d", i/overloadRack%overloadDomains)),
			Rack:          endpoint.Rack(fmt.Sprintf("rack-%d", i/overloadRack)),
			Capacity:      resources.Amounts{CPU: 128000, Memory: 512000, Accelerators: 8},
		})
	}
	p.SetWorkers(list, now)
	for i := range list {
		p.SetResponsive(list[i].Name, true)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range o.workers / 12 {
		p.Submit(overloadJob(random, "long", fmt.Sprintf("running-%d", i), 12, now), now)
	}
	for i := range o.workers / 30 {
		p.Submit(overloadJob(random, "batch", fmt.Sprintf("running-batch-%d", i), 78, now), now)
	}
	settle(p, now)
	now = now.Add(4 * time.Second)
	for _, w := range p.workersByName {
		p.LeaseRenewed(w.Name, now)
	}
	p.submitBacklog(random, o, now)
	return p, now
}

// submitBacklog submits the waiting jobs. The units of urgent and long jobs have each failed once on a failing worker.
func (p *Planner) submitBacklog(random *rand.Rand, o overload, now time.Time) {
	failing := int(failingShare * float64(o.workers))
	add := func(queue string, n, tasks int) {
		for i := range n {
			job := overloadJob(random, queue, fmt.Sprintf("%s-%d", queue, i), tasks, now.Add(-2*time.Second))
			p.Submit(job, now)
			p.jobs[job.ID].eachUnit(func(u *unit) {
				u.waitingSince = now.Add(-time.Second)
				if queue != "batch" || u.index%5 == 0 {
					u.avoidedWorkers = []*worker{p.workersByName[random.IntN(failing)]}
				}
			})
		}
	}
	add("urgent", o.urgent, 8)
	add("long", o.long, 26)
	add("batch", o.batch, 78)
	for _, w := range p.workersByName[:failing/2] {
		w.health.suspend(now)
	}
}

func overloadJob(random *rand.Rand, queue, id string, tasks int, accepted time.Time) *graph.Job {
	step := graph.Step{
		Tasks: tasks, Estimate: 8 * time.Second, Checkpoints: queue != "urgent",
		Needs: resources.Amounts{CPU: 11000, Memory: 20000, Accelerators: 1},
	}
	if queue != "batch" {
		step.Gang, step.SameRack = true, random.IntN(10) < 7
		step.Needs = resources.Amounts{CPU: 15000, Memory: 30000, Accelerators: int64(1 + random.IntN(8))}
	}
	return &graph.Job{
		ID: graph.ID(id), Queue: queue, ClientAccount: account.Name(fmt.Sprintf("team-%d", random.IntN(teams))),
		Accepted: accepted, Steps: []graph.Step{step},
	}
}

// BenchmarkOverload measures one decision in an overload at several sizes of the fleet.
func BenchmarkOverload(b *testing.B) {
	for _, workers := range []int{350, 1100, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			scale := func(n int) int { return n * workers / largeOverload.workers }
			for range b.N {
				b.StopTimer()
				p, now := newOverload(overload{
					workers: workers, urgent: scale(largeOverload.urgent), long: scale(largeOverload.long),
					batch: scale(largeOverload.batch),
				})
				b.StartTimer()
				p.Plan(now)
			}
		})
	}
}

// examinedByOne is the largest number of times that the placement of a single unit examines each worker and each running
// task of the site.
const examinedByOne = 8

// TestOverloadIsBounded checks that the work of one decision does not grow with the number of waiting jobs, and that the
// decisions of one round place what a single unlimited decision places. Before, one decision of this state took 21 s: the
// leader renewed no leases meanwhile, the work of the whole site ended, and there was still more to decide.
func TestOverloadIsBounded(t *testing.T) {
	unlimited, now := newOverload(largeOverload)
	unlimited.examineLimit = math.MaxInt
	unlimited.Plan(now)

	p, now := newOverload(largeOverload)
	members := 0
	for _, w := range p.workersByName {
		members += len(w.members)
	}
	bound := maxExamined + examinedByOne*(len(p.workersByName)+members)
	calls := 0
	for first := true; first || p.InRound(); first = false {
		p.Plan(now)
		calls++
		qt.Assert(t, p.lastExamined <= bound, qt.IsTrue, qt.Commentf("examined %d, at most %d", p.lastExamined, bound))
	}
	t.Logf("%d calls of Plan; %d examined without a limit", calls, unlimited.lastExamined)
	qt.Check(t, placedUnits(p), qt.DeepEquals, placedUnits(unlimited))
}

// TestUrgentFirstInRound submits an urgent job while a round is not finished. The next call of Plan must place it before
// the less urgent units that the round has not tried yet.
func TestUrgentFirstInRound(t *testing.T) {
	p, now := newOverload(overload{workers: 350, urgent: 20, long: 100, batch: 80})
	p.examineLimit = 1
	p.Plan(now)
	qt.Assert(t, p.InRound(), qt.IsTrue)
	p.Submit(urgentGang(1, now.Add(-time.Hour)), now)
	p.jobs["urgent-000000001"].Accepted = now.Add(-4 * time.Second)
	p.Plan(now)
	qt.Check(t, p.jobs["urgent-000000001"].units[0][0][0].isPlaced(), qt.IsTrue)
	qt.Check(t, p.InRound(), qt.IsTrue)
}

// placedUnits returns the number of units of each queue that have workers.
func placedUnits(p *Planner) map[string]int {
	placed := map[string]int{}
	for _, j := range p.jobs {
		j.eachUnit(func(u *unit) {
			if u.isPlaced() {
				placed[j.Queue]++
			}
		})
	}
	return placed
}
