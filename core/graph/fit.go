package graph

import (
	"github.com/pkg/errors"

	"auburnstack/core/roster"
)

// ErrImpossible reports a job that does not fit the workers of its service, even if nothing else runs on them.
var ErrImpossible = errors.New("no workers can hold the job")

// absentFactor allows for workers that are currently absent: a gang is impossible only if it has more than absentFactor
// times as many tasks as the workers in the sizes passed to CheckFit can hold together.
const absentFactor = 2

// CheckFit returns ErrImpossible if a step of the job has tasks larger than any worker of the service, or if a gang has
// more than absentFactor times as many tasks as all workers of the service can hold together. The parameter sizes lists
// the numbers and capacities of workers. CheckFit returns nil if sizes has no entry for the service.
func (j *Job) CheckFit(service string, sizes []roster.Size) error {
	for i := range j.Steps {
		step := &j.Steps[i]
		known, capacity := step.capacity(service, sizes)
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

// capacity counts the tasks of a step that the workers of a service can hold at a time if nothing else runs on them.
// The first result is false if sizes has no entry for the service.
func (s *Step) capacity(service string, sizes []roster.Size) (bool, int) {
	known, capacity := false, 0
	for _, size := range sizes {
		if size.Service != service {
			continue
		}
		known = true
		limit := s.Tasks
		if s.SpreadLimit > 0 {
			limit = min(limit, s.SpreadLimit)
		}
		capacity += size.Workers * size.Capacity.Count(s.Reserved(), limit)
	}
	return known, capacity
}
