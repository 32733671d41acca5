package jobmemory

import (
	"sync"

	"auburnstack/core/graph"
)

// Allowance is what a VM that does not lead may accept by itself until the next heartbeat. Everything else is for the
// leader to decide. The zero value means that there is no limit.
type Allowance struct {
	Limited bool
	// Bytes is the footprint of the jobs.
	Bytes int64
}

// Quota holds the allowance of a VM. It is safe for concurrent use.
type Quota struct {
	mu   sync.Mutex
	left Allowance
}

// NewQuota returns the quota for a VM that has not heard from a leader. limit is the VM's own limit.
func NewQuota(limit Limit) *Quota {
	return &Quota{left: limit.Initial(1)}
}

// Set replaces what is left by a new allowance.
func (q *Quota) Set(allowance Allowance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left = allowance
}

// Spend takes a job's footprint from the allowance. It returns false if too little is left, or if the job is large: a
// few of them would fill the leader's memory before it has read them.
func (q *Quota) Spend(job *graph.Job) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	bytes := job.Footprint()
	switch {
	case !q.left.Limited:
		return true
	case bytes > LargeJob, bytes > q.left.Bytes:
		return false
	}
	q.left.Bytes -= bytes
	return true
}
