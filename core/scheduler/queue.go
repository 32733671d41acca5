package scheduler

import (
	"sort"
	"time"

	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// signature is the key of a lane: jobs with equal signatures can be placed in the same ways.
type signature struct {
	pool  pool.Name
	class route.Class
	shape shape.Shape
}

// lane holds the waiting jobs with one signature, in order of submission. It may also hold outdated entries; see queue.
type lane struct {
	signature
	jobs []*Job
}

// queue holds waiting jobs in lanes, one for each signature. A decision considers only the head of each lane, the first
// waiting job, however many jobs wait.
type queue struct {
	lanes map[signature]*lane
	// waiting holds the jobs that are in the queue. Lanes may also list entries of jobs that have been removed, and old
	// entries of jobs that have been removed and added again; such entries are skipped.
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

// remove removes a job in constant time and reports whether it was queued. The method head drops the job's entry in the
// lane later.
func (q *queue) remove(id job.ID) bool {
	if !q.holds(id) {
		return false
	}
	delete(q.waiting, id)
	return true
}

// head returns the first waiting job of a lane. It drops outdated entries and deletes the lane if none is left.
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

// isCurrent reports whether an entry of a lane is the current entry of a waiting job.
func (q *queue) isCurrent(entry *Job) bool {
	return q.waiting[entry.ID] == entry
}

// holds reports whether a job waits in the queue.
func (q *queue) holds(id job.ID) bool {
	_, waits := q.waiting[id]
	return waits
}

func (q *queue) len() int {
	return len(q.waiting)
}

// all returns all waiting jobs in order of submission.
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

// earlier reports whether job a was submitted before job b; ties are broken by ID.
func earlier(a, b Job) bool {
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// rank is the priority of a lane, compared field by field; the lane with the lowest rank is tried first.
type rank struct {
	class route.Class
	// borrowed is the number of accelerators that the lane's pool has borrowed.
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

// agedClass returns the class by which a job is ranked: a batch job that has waited for agingAfter ranks as a long job.
func agedClass(j Job, now time.Time, agingAfter time.Duration) route.Class {
	if j.Class == route.Batch && now.Sub(j.Submitted) >= agingAfter {
		return route.Long
	}
	return j.Class
}
