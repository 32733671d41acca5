package worker

import (
	"sync"
	"time"

	"auburnstack/core/job"
)

// Checkpoints holds the work left of stopped jobs, as shared storage of the workers would.
type Checkpoints struct {
	mu   sync.Mutex
	left map[job.ID]time.Duration
}

// NewCheckpoints returns an empty store.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{left: map[job.ID]time.Duration{}}
}

// remaining returns the work left of a job, or the whole when it has no checkpoint.
func (c *Checkpoints) remaining(id job.ID, total time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left, known := c.left[id]; known {
		return left
	}
	return total
}

// save stores the work left; of the members of one gang the last to stop counts.
func (c *Checkpoints) save(id job.ID, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[id] = max(left, 0)
}
