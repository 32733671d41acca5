// Package jobmemory decides whether a site has the memory for one more job. The leader holds all jobs of the site,
// which any VM may accept. Any VM may become the leader, so the smallest memory of a VM counts.
package jobmemory

import (
	"sync"
	"time"

	"auburnstack/core/graph"
)

const (
	// LargeJob is the footprint in bytes above which a job is large and only the leader accepts it. A job of 1,350 tasks
	// is about as large. Recurring jobs of some hundred tasks are common, and must not depend on the leader.
	LargeJob = 1 << 20
	// totalShare is the part of a VM's memory that the jobs may take by their footprints. largeShare is the part up to
	// which large jobs are accepted, so that small ones still are when there are many large ones. The rest is for the
	// program itself (28 MB), the connections to workers, and the records that a new leader reads.
	totalShare = 0.45
	largeShare = 0.25
	// reservationTime is the time after which a job that was admitted, and that the leader has not read, is forgotten. It
	// is longer than the time within which a submission is stored and read, also by a slow link.
	reservationTime = 10 * time.Second
	// allowanceParts divides the free memory among the VMs: together they use at most half of it between two heartbeats.
	allowanceParts = 2
	// initialParts is the part of the limit that VMs may use while nothing is known about the jobs that the leader holds.
	initialParts = 16
)

// Limit is the number of bytes that the jobs may take by their footprints; 0 means no limit.
type Limit int64

// NewLimit returns the limit for a VM with the given memory in megabytes; 0 means no limit.
func NewLimit(megabytes float64) Limit {
	return Limit(totalShare * megabytes * (1 << 20))
}

// large returns the limit for large jobs.
func (l Limit) large() int64 {
	return int64(float64(l) * (largeShare / totalShare))
}

// Min returns the smaller of two limits.
func (l Limit) Min(other Limit) Limit {
	if l == 0 || other != 0 && other < l {
		return other
	}
	return l
}

// Initial returns what each of the given number of VMs may accept by itself while nothing is known about the jobs that
// the leader holds.
func (l Limit) Initial(vms int) Allowance {
	return Allowance{Limited: l > 0, Bytes: int64(l) / int64(initialParts*max(vms, 1))}
}

// submission identifies a job that was admitted. Submissions of several origins may have the same ID until one of them
// is stored.
type submission struct {
	id     graph.ID
	origin graph.Origin
}

func submissionOf(job *graph.Job) submission {
	return submission{id: job.ID, origin: job.Origin().Key()}
}

// reservation is the footprint of a job that was admitted and that the leader has not read yet.
type reservation struct {
	bytes int64
	at    time.Time
}

// Account is the leader's account of the memory that jobs take. It is safe for concurrent use.
type Account struct {
	mu    sync.Mutex
	limit Limit
	// held is the footprint of all jobs that the leader holds.
	held     int64
	reserved map[submission]reservation
}

// NewAccount returns an account without jobs.
func NewAccount(limit Limit) *Account {
	return &Account{limit: limit, reserved: map[submission]reservation{}}
}

// SetLimit replaces the limit.
func (a *Account) SetLimit(limit Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// Reset sets the footprint of all jobs that the leader holds.
func (a *Account) Reset(held int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = held
}

// Read replaces the reservation of a job by the job, which the leader now holds.
func (a *Account) Read(job *graph.Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reserved, submissionOf(job))
	a.held += job.Footprint()
}

// Release removes the reservation of a job that was not accepted.
func (a *Account) Release(job *graph.Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.reserved, submissionOf(job))
}

// Reserve admits a job if there is memory for it. A job of any legal size is admitted if there is no other.
func (a *Account) Reserve(job *graph.Job, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The job may have been admitted before, in an attempt whose outcome is unknown.
	delete(a.reserved, submissionOf(job))
	bytes, taken := job.Footprint(), a.taken(now)
	limit := int64(a.limit)
	if bytes > LargeJob {
		limit = a.limit.large()
	}
	if a.limit > 0 && taken > 0 && taken+bytes > limit {
		return false
	}
	a.reserved[submissionOf(job)] = reservation{bytes: bytes, at: now}
	return true
}

// taken returns the footprint of all jobs that the leader holds or that were admitted. The caller must hold the lock.
func (a *Account) taken(now time.Time) int64 {
	sum := a.held
	for key, r := range a.reserved {
		if now.Sub(r.at) > reservationTime {
			delete(a.reserved, key)
			continue
		}
		sum += r.bytes
	}
	return sum
}

// Status is the state of an account.
type Status struct {
	Taken int64
	Limit Limit
}

// Full reports whether no further large job is admitted.
func (s Status) Full() bool {
	return s.Limit > 0 && s.Taken > 0 && s.Taken+LargeJob > s.Limit.large()
}

// Status returns the state of the account.
func (a *Account) Status(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{Taken: a.taken(now), Limit: a.limit}
}

// Allowance returns what each of the given number of VMs may accept by itself until the next heartbeat.
func (a *Account) Allowance(vms int, now time.Time) Allowance {
	status := a.Status(now)
	if status.Limit == 0 {
		return Allowance{}
	}
	free := max(int64(status.Limit)-status.Taken, 0)
	return Allowance{Limited: true, Bytes: free / int64(allowanceParts*max(vms, 1))}
}
