package scheduler

import (
	"sort"
	"time"

	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// signature groups waiting jobs that need the same place on the same terms.
type signature struct {
	pool  pool.Name
	class route.Class
	shape shape.Shape
}

// lane holds the waiting jobs of one signature, the longest waiting first.
type lane struct {
	signature
	jobs []*Job
}

// queue holds waiting jobs. One decision looks at one job of each lane, however many wait.
type queue struct {
	lanes map[signature]*lane
	// waiting holds the jobs that are in the queue. A lane may still list others, also earlier entries of a job that was
	// taken out and queued again; they are passed over.
	waiting map[job.ID]*Job
}

func newQueue() *queue {
	return &queue{lanes: map[signature]*lane{}, waiting: map[job.ID]*Job{}}
}

func (q *queue) add(j Job) {
	if q.holds(j.ID) {
		return
	}
	key := signature{pool: j.Pool, class: j.Class, shape: j.Shape}
	target := q.lanes[key]
	if target == nil {
		target = &lane{signature: key}
		q.lanes[key] = target
	}
	q.waiting[j.ID] = &j
	target.jobs = append(target.jobs, &j)
	for i := len(target.jobs) - 1; i > 0 && target.jobs[i].Submitted.Before(target.jobs[i-1].Submitted); i-- {
		target.jobs[i], target.jobs[i-1] = target.jobs[i-1], target.jobs[i]
	}
}

// remove takes a job out in constant time; its place in the lane is cleared later.
func (q *queue) remove(id job.ID) bool {
	if !q.holds(id) {
		return false
	}
	delete(q.waiting, id)
	return true
}

// head returns the longest waiting job of a lane.
func (q *queue) head(l *lane) (Job, bool) {
	for len(l.jobs) > 0 && !q.isCurrent(l.jobs[0]) {
		l.jobs = l.jobs[1:]
	}
	if len(l.jobs) == 0 {
		delete(q.lanes, l.signature)
		return Job{}, false
	}
	return *l.jobs[0], true
}

// isCurrent tells whether an entry of a lane is the one of a waiting job.
func (q *queue) isCurrent(entry *Job) bool {
	return q.waiting[entry.ID] == entry
}

// holds tells whether a job waits in the queue.
func (q *queue) holds(id job.ID) bool {
	_, waits := q.waiting[id]
	return waits
}

func (q *queue) len() int {
	return len(q.waiting)
}

// all returns every waiting job in the order of submission.
func (q *queue) all() []Job {
	var jobs []Job
	for _, l := range q.lanes {
		for _, j := range l.jobs {
			if q.isCurrent(j) {
				jobs = append(jobs, *j)
			}
		}
	}
	sort.Slice(jobs, func(i, j int) bool { return earlier(jobs[i], jobs[j]) })
	return jobs
}

func earlier(a, b Job) bool {
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// rank orders lanes in a decision round: lower is first.
type rank struct {
	class    route.Class
	borrowed int
	head     Job
}

func (r rank) before(other rank) bool {
	if r.class != other.class {
		return r.class < other.class
	}
	if r.borrowed != other.borrowed {
		return r.borrowed < other.borrowed
	}
	return earlier(r.head, other.head)
}

// agedClass raises a batch job that has waited long to the class of long jobs.
func agedClass(j Job, now time.Time, agingAfter time.Duration) route.Class {
	if j.Class == route.Batch && now.Sub(j.Submitted) >= agingAfter {
		return route.Long
	}
	return j.Class
}
