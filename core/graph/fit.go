package graph

import (
	"github.com/pkg/errors"

	"auburnstack/core/roster"
)

// ErrImpossible reports a job that no workers can hold.
var ErrImpossible = errors.New("no workers can hold the job")

// absentFactor allows for workers that are away: only what is too wide for this many times those known is impossible.
const absentFactor = 2

// CheckFit returns ErrImpossible if a step of the job fits none of the sizes of its service's workers. It returns nil
// when no sizes are known.
func (j *Job) CheckFit(service string, sizes []roster.Size) error {
	for i := range j.Steps {
		step := &j.Steps[i]
		known, capacity := step.countFitting(service, sizes)
		switch {
		case !known:
			return nil
		case capacity == 0:
			return errors.WithMessagef(ErrImpossible, "a task of step %d is larger than any worker", i)
		case step.Gang && capacity*absentFactor < step.Tasks:
			return errors.WithMessagef(ErrImpossible, "the gang of step %d has %d tasks, all workers have room for %d",
				i, step.Tasks, capacity)
		}
	}
	return nil
}

// countFitting counts the tasks of a step that the workers of a service can hold at a time if nothing else runs there; the
// first result is false when no worker of the service is known.
func (s *Step) countFitting(service string, sizes []roster.Size) (bool, int) {
	known, count := false, 0
	for _, size := range sizes {
		if size.Service != service {
			continue
		}
		known = true
		limit := s.Tasks
		if s.SpreadLimit > 0 {
			limit = min(limit, s.SpreadLimit)
		}
		count += size.Workers * size.Capacity.Count(s.Reserved(), limit)
	}
	return known, count
}
