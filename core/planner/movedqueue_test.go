package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
)

// withQueue returns a copy of a policy in which a queue is changed.
func withQueue(p *policy.Policy, name string, change func(*policy.Queue)) *policy.Policy {
	next := *p
	next.Queues = slices.Clone(p.Queues)
	for i := range next.Queues {
		if next.Queues[i].Name == name {
			change(&next.Queues[i])
		}
	}
	return &next
}

// TestCostOfVersion guards against a leader that looks at all of its jobs, or at all waiting units, for each version of
// the configuration.
func TestCostOfVersion(t *testing.T) {
	const jobs = 200_000
	p, _, now := newLimitedPlanner(testPolicy(), 6)
	queues := []string{"urgent", "long", "batch", "advised"}
	for i := range jobs {
		p.Submit(simpleJob(fmt.Sprintf("job-%06d", i), queues[i%len(queues)], "gold", 1, 8, now), now)
	}
	p.Plan(now)
	placed := 0
	for _, w := range p.workersByName {
		placed += len(w.members)
	}
	qt.Assert(t, placed, qt.Equals, 6)
	p.SetPolicy(withQueue(p.policy, "long", func(q *policy.Queue) { q.Timeout = time.Second }))
	qt.Check(t, p.lastApplied, qt.Equals, len(queues))
	changes := p.SetPolicy(withQueue(p.policy, "long", func(q *policy.Queue) { q.Service, q.Priority = "spare", 3 }))
	qt.Check(t, p.lastApplied, qt.Equals, len(queues)+placed)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Check(t, changes[0].Unfinished, qt.Equals, jobs/len(queues))
	p.SetPolicy(&policy.Policy{})
	qt.Check(t, p.lastApplied, qt.Equals, len(queues))
	qt.Check(t, p.HasChanges(), qt.IsTrue)
	qt.Check(t, len(p.dirty) <= placed, qt.IsTrue, qt.Commentf("%d parts to store", len(p.dirty)))
}

// TestLimitAfterChangeOfPriority guards against an urgent job that waits at the limit of its account, because the
// account's runs are counted with the priority that their queue had when they started.
func TestLimitAfterChangeOfPriority(t *testing.T) {
	before := withQueue(limitedPolicy("gold", 8), "batch", func(q *policy.Queue) { q.Priority = 0 })
	p, _, now := newLimitedPlanner(before, 2)
	p.Submit(simpleJob("runs", "batch", "gold", 1, 8, now), now)
	started, _ := ordersOf(settle(p, now))
	qt.Assert(t, started, qt.HasLen, 1)
	answerAll(p)
	p.SetPolicy(limitedPolicy("gold", 8))
	p.Submit(simpleJob("hurry", "urgent", "gold", 1, 8, now), now)
	_, stopped := ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.DeepEquals, []string{"runs.0.0.0"})
}

// TestHeadroomFollowsQueue guards against accelerators that are kept free for urgent jobs in a service that their queue
// has left, while jobs wait there, and against none that are kept free where the queue has gone.
func TestHeadroomFollowsQueue(t *testing.T) {
	p, _, now := newLimitedPlanner(testPolicy(), 10)
	p.Submit(simpleJob("hurry", "urgent", "gold", 6, 8, now), now)
	qt.Check(t, p.headroom.target("assay", 80, now), qt.Equals, int64(36))
	qt.Check(t, p.headroom.target("spare", 80, now), qt.Equals, int64(8))
	p.SetPolicy(withQueue(p.policy, "urgent", func(q *policy.Queue) { q.Service = "spare" }))
	qt.Check(t, p.headroom.target("assay", 80, now), qt.Equals, int64(8))
	qt.Check(t, p.headroom.target("spare", 80, now), qt.Equals, int64(36))
	p.SetPolicy(withQueue(p.policy, "urgent", func(q *policy.Queue) { q.Priority = 1 }))
	qt.Check(t, p.headroom.target("spare", 80, now), qt.Equals, int64(8))
}

// TestNewestAcceptanceOfRemovedQueue guards against jobs that wait for a service which their queue had left before it was
// removed, under a leader that never knew the queue, while a job that was accepted after the move shows the new one.
func TestNewestAcceptanceOfRemovedQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	accepted := func(id graph.ID, service string, at time.Time) *graph.Job {
		queue := policy.Queue{Name: "long", Host: "h", Prefix: "/long/", Service: service, MaxAttempts: 2}
		return &graph.Job{ID: id, Queue: "long", AcceptedBy: queue, Accepted: at, Steps: []graph.Step{{Tasks: 1}}}
	}
	older, newer := accepted("older", "full", now), accepted("newer", "assay", now.Add(time.Second))
	for _, order := range [][]*graph.Job{{older, newer}, {newer, older}} {
		p := New(testSettings(), testPolicy())
		for _, job := range order {
			p.Submit(job, now.Add(time.Minute))
		}
		for _, id := range []graph.ID{"older", "newer"} {
			queue, _ := p.Queue(id)
			qt.Check(t, queue.Service, qt.Equals, "assay")
		}
		qt.Check(t, p.FormerQueues(), qt.HasLen, 1)
	}
}

// TestCostOfRemovedQueue guards against a takeover that looks at all placed tasks for each job of a removed queue.
func TestCostOfRemovedQueue(t *testing.T) {
	p, _, now := newLimitedPlanner(testPolicy(), 6)
	p.Submit(simpleJob("runs", "long", "gold", 6, 8, now), now)
	settle(p, now)
	removed := policy.Queue{Name: "removed", Host: "h", Prefix: "/removed/", Service: "assay", MaxAttempts: 2}
	p.lastApplied = 0
	for i := range 1000 {
		job := simpleJob(fmt.Sprintf("job-%03d", i), "removed", "gold", 1, 8, now.Add(time.Duration(i)*time.Second))
		job.AcceptedBy = removed
		p.Submit(job, now)
	}
	qt.Check(t, p.lastApplied, qt.Equals, 0)
}

// TestQueuesWithoutJobsAreForgotten guards against a leader whose memory grows with each queue that ever was, and
// against records of removed queues that nobody needs.
func TestQueuesWithoutJobsAreForgotten(t *testing.T) {
	p, _, now := newLimitedPlanner(testPolicy(), 2)
	p.Submit(simpleJob("job", "long", "gold", 1, 8, now), now)
	settle(p, now)
	p.SetPolicy(&policy.Policy{Accounts: []policy.Account{{Name: account.Name("gold")}}})
	qt.Check(t, p.FormerQueues(), qt.HasLen, 1)
	endUnit(p, "job", EndDone, now)
	settle(p, now)
	qt.Check(t, p.FormerQueues(), qt.HasLen, 0)
	later := now.Add(time.Hour)
	qt.Assert(t, p.Forget(later), qt.HasLen, 1)
	p.SetPolicy(testPolicy())
	qt.Check(t, p.queues, qt.HasLen, 0)
}

// startsOf places a job of two tasks, and returns the start orders, none of which was sent.
func startsOf(t *testing.T, p *Planner, job *graph.Job, now time.Time) []Start {
	t.Helper()
	p.Submit(job, now)
	var starts []Start
	for _, action := range settle(p, now) {
		if start, isStart := action.(Start); isStart {
			starts = append(starts, start)
		}
	}
	qt.Assert(t, starts, qt.HasLen, 2)
	return starts
}

// TestStartOnItsWay guards against a start that is sent to a service which its queue has left, without the ticket that it
// needs now, or once more than is allowed now, and against a gang that is broken because its queue moves while its
// starts are sent.
func TestStartOnItsWay(t *testing.T) {
	for name, test := range map[string]struct {
		gang, sent bool
		change     func(*policy.Queue)
		want       bool
	}{
		"moved":                {change: func(q *policy.Queue) { q.Service = "spare" }, want: true},
		"moved gang":           {gang: true, change: func(q *policy.Queue) { q.Service = "spare" }, want: true},
		"moved gang in part":   {gang: true, sent: true, change: func(q *policy.Queue) { q.Service = "spare" }},
		"advised":              {change: func(q *policy.Queue) { q.Advice = &policy.Advice{} }, want: true},
		"advised gang in part": {gang: true, sent: true, change: func(q *policy.Queue) { q.Advice = &policy.Advice{} }},
		"attempts":             {change: func(q *policy.Queue) { q.MaxAttempts = 1 }, want: true},
		"attempts of a gang in part": {
			gang: true, sent: true, change: func(q *policy.Queue) { q.MaxAttempts = 1 }, want: true,
		},
		"priority": {change: func(q *policy.Queue) { q.Priority = 0 }},
		"timeout":  {change: func(q *policy.Queue) { q.Timeout = time.Second }},
	} {
		p, _, now := newLimitedPlanner(testPolicy(), 6)
		job := simpleJob("job", "long", "gold", 2, 8, now)
		job.Steps[0].Gang = test.gang
		starts := startsOf(t, p, job, now)
		p.jobs["job"].eachUnit(func(u *unit) { u.failures = 1 })
		if test.sent {
			p.StartSent(starts[0])
		}
		qt.Check(t, p.Outdated(starts[1]), qt.IsFalse, qt.Commentf(name))
		p.SetPolicy(withQueue(p.policy, "long", test.change))
		qt.Check(t, p.Outdated(starts[1]), qt.Equals, test.want, qt.Commentf(name))
		qt.Check(t, p.Suits(starts[1]), qt.IsTrue, qt.Commentf(name))
	}
}

// TestMovedQueueOfRecurringJob guards against later occurrences that start on the service of the first one after their
// queue has moved.
func TestMovedQueueOfRecurringJob(t *testing.T) {
	p, list, now := newLimitedPlanner(testPolicy(), 4)
	for i := range list[2:] {
		list[2+i].Service = "spare"
		list[2+i].Incarnation++
	}
	p.SetWorkers(list, now)
	job := simpleJob("job", "long", "gold", 1, 4, now)
	job.Recurrence = &graph.Recurrence{First: now, Interval: time.Minute, Count: 3}
	p.Submit(job, now)
	for occurrence, service := range []string{"assay", "spare", "assay"} {
		p.SetPolicy(withQueue(p.policy, "long", func(q *policy.Queue) { q.Service = service }))
		for i := range list {
			report(p, &list[i], now)
			p.SetResponsive(list[i].Name, true)
		}
		settle(p, now)
		members := p.jobs["job"].units[occurrence][0][0].members
		qt.Assert(t, members, qt.HasLen, 1)
		qt.Check(t, members[0].worker.Service, qt.Equals, service)
		p.memberEnded(members[0], EndDone, "", now)
		now = now.Add(time.Minute)
	}
}
