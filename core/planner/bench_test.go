package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// BenchmarkUrgentArrival measures the arrival, placement and end of an urgent gang of four tasks on fleets of several
// sizes. Batch tasks use three quarters of each fleet.
func BenchmarkUrgentArrival(b *testing.B) {
	for _, workers := range []int{48, 350, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p, now := busyPlanner(workers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				job := urgentGang(i, now)
				p.Submit(job, now)
				settle(p, now)
				p.Cancel(job.ID, now)
				endAll(p, job, now)
				settle(p, now)
				now = now.Add(10 * time.Second)
				b.StopTimer()
				p.Forget(now.Add(time.Hour))
				for _, w := range p.workersByName {
					p.LeaseRenewed(w.Name, now)
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkBatchArrival measures the arrival, placement and end of a job with 40 independent tasks on idle fleets of
// several sizes.
func BenchmarkBatchArrival(b *testing.B) {
	for _, workers := range []int{48, 350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p, now := idlePlanner(workers)
			b.ResetTimer()
			for i := range b.N {
				job := &graph.Job{ID: graph.ID(fmt.Sprintf("job-%05d", i)), Queue: "batch", Accepted: now, Steps: []graph.Step{{
					Tasks: 40, Estimate: time.Second, Needs: resources.Amounts{CPU: 1000, Memory: 1000, Accelerators: 1},
				}}}
				p.Submit(job, now)
				settle(p, now)
				p.Cancel(job.ID, now)
				for _, u := range p.jobs[job.ID].units[0][0] {
					for _, m := range slices.Clone(u.members) {
						p.memberEnded(m, EndStopped, "", now)
					}
				}
				settle(p, now)
				now = now.Add(10 * time.Second)
				b.StopTimer()
				p.Forget(now.Add(time.Hour))
				b.StartTimer()
			}
		})
	}
}

// busyPlanner returns a planner whose workers run batch tasks and have two free accelerators each.
func busyPlanner(workers int) (*Planner, time.Time) {
	p, now := idlePlanner(workers)
	for i := range workers {
		p.Submit(&graph.Job{ID: graph.ID(fmt.Sprintf("batch-%05d", i)), Queue: "batch", Accepted: now, Steps: []graph.Step{{
			Tasks: 6, SpreadLimit: 6, Estimate: time.Hour, Needs: resources.Amounts{CPU: 1000, Memory: 1000, Accelerators: 1},
		}}}, now)
	}
	settle(p, now)
	return p, now
}

// idlePlanner returns a planner with the given number of workers, which run nothing.
func idlePlanner(workers int) (*Planner, time.Time) {
	now := time.Unix(1000, 0)
	p := New(testSettings(), testPolicy())
	var list []roster.Worker
	for i := range workers {
		list = append(list, roster.Worker{
			Name: endpoint.Name(fmt.Sprintf("worker-%05d", i)), Service: "assay", Incarnation: 1,
			FailureDomain: domain.Name(fmt.Sprintf("domain-%d", i%4)), Rack: endpoint.Rack(fmt.Sprintf("rack-%d", i/8)),
			Capacity: resources.Amounts{CPU: 8000, Memory: 8000, Accelerators: 8},
		})
	}
	p.SetWorkers(list, now)
	for i := range list {
		p.SetResponsive(list[i].Name, true)
	}
	return p, now
}

func urgentGang(i int, now time.Time) *graph.Job {
	return &graph.Job{
		ID: graph.ID(fmt.Sprintf("urgent-%09d", i)), Queue: "urgent", ClientAccount: "gold", Accepted: now,
		Steps: []graph.Step{{
			Tasks: 4, Gang: true, Estimate: time.Second, Needs: resources.Amounts{CPU: 1000, Memory: 1000, Accelerators: 2},
		}},
	}
}

// settle makes the planner decide and stores its changes until nothing changes any more. It returns all actions.
func settle(p *Planner, now time.Time) []Action {
	var actions []Action
	for {
		decided := p.Plan(now)
		actions = append(actions, decided...)
		changes := p.TakeChanges(1000)
		if len(changes) == 0 && len(decided) == 0 {
			return actions
		}
		for _, c := range changes {
			p.Stored(c, now)
		}
	}
}

// endAll ends the tasks of a job with a single gang.
func endAll(p *Planner, job *graph.Job, now time.Time) {
	u := p.jobs[job.ID].units[0][0][0]
	for _, m := range slices.Clone(u.members) {
		if m.state != ended {
			p.memberEnded(m, EndStopped, "", now)
		}
	}
}
