package main

import (
	"container/heap"
	"fmt"
	"time"

	"auburnstack/core/destination"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/placement"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
)

// restartCost is the work that a stopped job repeats because the job did this work after its last checkpoint. A job
// that ran for less than restartCost repeats all of its work.
const restartCost = 30 * time.Second

type eventKind int

const (
	arrivalEvent eventKind = iota
	endEvent
	editEvent
	sampleEvent
)

// event is an arrival of a job, an end of a job, an edit of the tables or a sample of the free accelerators. The field
// at is the time since the start of the replay. Events with the same time are handled in the order of sequence.
type event struct {
	at   time.Duration
	kind eventKind
	id   job.ID
	// startNumber is the number of the start to which an endEvent belongs. The event is ignored if the job has been
	// started again since.
	startNumber int
	out         bool
	sequence    int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].sequence < e[k].sequence
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayedJob is a job with its state during the replay.
type replayedJob struct {
	arrival
	failureDomain domain.Name
	remaining     time.Duration
	started       time.Duration
	starts        int
	running       bool
}

// replay runs one arrival sequence through the schedulers of all failure domains on a virtual clock.
type replay struct {
	workload   workload
	schedulers map[domain.Name]*scheduler.Scheduler
	tables     *table.Tables
	queue      events
	jobs       map[job.ID]*replayedJob
	sequence   int
	now        time.Duration
	result     *result
}

func newReplay(p workload, policy placement.Policy, seed uint64) *replay {
	r := &replay{
		workload: p, schedulers: map[domain.Name]*scheduler.Scheduler{}, jobs: map[job.ID]*replayedJob{}, result: newResult(),
	}
	settings := scheduler.DefaultSettings()
	settings.Policy = policy
	for _, name := range p.domains {
		s := scheduler.New(name, settings)
		for i := range p.workers {
			s.AddWorker(endpoint.Endpoint{
				Name: endpoint.Name(fmt.Sprintf("%s-%05d", name, i)), FailureDomain: name,
				Rack: endpoint.Rack(fmt.Sprintf("%s-%03d", name, i/p.rackSize)), Accelerators: p.accelerators,
			})
		}
		r.schedulers[name] = s
	}
	r.edit(false)
	for _, a := range p.sequence(seed) {
		r.jobs[a.id] = &replayedJob{arrival: a, remaining: a.runtime}
		r.push(event{at: a.at, kind: arrivalEvent, id: a.id})
	}
	r.push(event{at: p.outFrom, kind: editEvent, out: true})
	r.push(event{at: p.outTo, kind: editEvent, out: false})
	for at := time.Duration(0); at < p.duration; at += sampleInterval {
		r.push(event{at: at, kind: sampleEvent})
	}
	return r
}

// sampleInterval is the time between two samples of the free accelerators.
const sampleInterval = time.Minute

func (r *replay) push(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.queue, e)
}

func (r *replay) clock() time.Time {
	return time.Unix(0, 0).Add(r.now)
}

// edit gives all schedulers a new revision of the pools table, in which the second failure domain is taken out or back
// in.
func (r *replay) edit(out bool) {
	revision := table.Revision(1)
	if r.tables != nil {
		revision = r.tables.Revision + 1
	}
	tables, err := table.Parse(revision, "", r.workload.tables(out))
	if err != nil {
		panic(err)
	}
	r.tables = tables
	for _, name := range r.workload.domains {
		r.schedulers[name].SetTables(tables, r.clock())
	}
}

func (r *replay) run() *result {
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		r.handle(e)
		for _, name := range r.workload.domains {
			r.decide(name)
		}
	}
	return r.result
}

func (r *replay) handle(e event) {
	switch e.kind {
	case arrivalEvent:
		p := r.jobs[e.id]
		r.submit(p, r.choose(p))
	case endEvent:
		r.end(e)
	case editEvent:
		r.edit(e.out)
	case sampleEvent:
		r.sample()
	}
}

// choose returns the failure domain in which the given job is to be scheduled.
func (r *replay) choose(p *replayedJob) domain.Name {
	pool, _ := r.tables.Pool(p.pool)
	name, _ := destination.Choose(pool, p.shape, r.tables.IsIn, func(name domain.Name) (scheduler.Summary, bool) {
		return r.schedulers[name].Summary(), true
	})
	return name
}

func (r *replay) submit(p *replayedJob, name domain.Name) {
	p.failureDomain = name
	r.schedulers[name].Submit(scheduler.Job{
		ID: p.id, Pool: p.pool, Class: p.class, Shape: p.shape, Submitted: time.Unix(0, 0).Add(p.at),
	})
}

func (r *replay) end(e event) {
	p := r.jobs[e.id]
	if !p.running || p.starts != e.startNumber {
		return
	}
	p.running = false
	r.result.countOutWork(r.workload, p, p.started, r.now)
	r.schedulers[p.failureDomain].Ended(p.id)
	r.result.completed(p, r.now)
}

// decide carries out the actions of a scheduler until the scheduler returns no action that has an effect.
func (r *replay) decide(name domain.Name) {
	s := r.schedulers[name]
	for {
		began := time.Now()
		actions := s.Decide(r.clock())
		r.result.decided(time.Since(began), len(actions))
		unchanged := 0
		for _, action := range actions {
			if !r.apply(s, action) {
				unchanged++
			}
		}
		if len(actions) == unchanged {
			return
		}
	}
}

// apply carries out an action. It returns false if the action is a move that is not worthwhile.
func (r *replay) apply(s *scheduler.Scheduler, action scheduler.Action) bool {
	switch a := action.(type) {
	case scheduler.Launch:
		p := r.jobs[a.ID]
		p.running, p.started, p.starts = true, r.now, p.starts+1
		r.result.launched(a, p, r.workload.rackSize)
		r.push(event{at: r.now + p.remaining, kind: endEvent, id: p.id, startNumber: p.starts})
	case scheduler.Stop:
		p := r.jobs[a.ID]
		p.running = false
		doneWork := r.now - p.started
		r.result.countOutWork(r.workload, p, p.started, r.now)
		p.remaining = p.remaining - doneWork + min(doneWork, restartCost)
		r.result.stopped(a, p, min(doneWork, restartCost))
		s.Ended(p.id)
		r.submit(p, r.choose(p))
	case scheduler.Move:
		return r.move(s, a)
	}
	return true
}

// move moves a waiting job to a better failure domain. It returns false if no failure domain is better.
func (r *replay) move(s *scheduler.Scheduler, a scheduler.Move) bool {
	p := r.jobs[a.ID]
	target := r.choose(p)
	if target == p.failureDomain {
		return false
	}
	from, to := s.Summary(), r.schedulers[target].Summary()
	if r.tables.IsIn(p.failureDomain) && !destination.Improves(p.shape, from, to) {
		return false
	}
	s.Cancel(p.id)
	r.submit(p, target)
	return true
}

// sample takes a sample of the free accelerators of every failure domain that is not taken out.
func (r *replay) sample() {
	for _, name := range r.workload.domains {
		if !r.tables.IsIn(name) {
			continue
		}
		s := r.schedulers[name]
		summary := s.Summary()
		r.result.sampled(summary, s.FreeUnusable(), r.workload)
	}
}
