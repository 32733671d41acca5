package worker

import (
	"sync"
	"time"

	"auburnstack/core/job"
)

// Checkpoints holds the remaining work of stopped jobs. All workers share it, like a shared file system.
type Checkpoints struct {
	mu   sync.Mutex
	left map[job.ID]time.Duration
}

// NewCheckpoints returns a store without checkpoints.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{left: map[job.ID]time.Duration{}}
}

// remaining returns the remaining work of a job, or total if the job has no checkpoint.
func (c *Checkpoints) remaining(id job.ID, total time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left, known := c.left[id]; known {
		return left
	}
	return total
}

// save stores the remaining work of a job. If several members of a gang save it, the last one overwrites the others.
func (c *Checkpoints) save(id job.ID, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[id] = max(left, 0)
}
