package graph

import (
	"github.com/pkg/errors"

	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// ErrImpossible reports a job that does not fit the workers of its service, even if nothing else runs on them.
var ErrImpossible = errors.New("no workers can hold the job")

// ErrOverLimit reports a job that does not fit the limit of its client account, even if nothing else of it runs.
var ErrOverLimit = errors.New("the limit of the account is too small for the job")

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

// CheckLimit returns ErrOverLimit if a step of the job has a task, or a gang, that needs more than the given limit of
// its account. A limit of 0 is none. Filler tasks count with all that they need.
func (j *Job) CheckLimit(limit resources.Amounts) error {
	if limit == (resources.Amounts{}) {
		return nil
	}
	for i := range j.Steps {
		if err := j.Steps[i].CheckLimit(limit); err != nil {
			return errors.WithMessagef(err, "step %d", i)
		}
	}
	return nil
}

// CheckLimit returns ErrOverLimit if a task of the step or, for a gang, all tasks together need more than a limit. A
// limit of 0 is none.
func (s *Step) CheckLimit(limit resources.Amounts) error {
	needs, unit := s.Needs, "a task"
	if s.Gang {
		needs, unit = s.Needs.Times(s.Tasks), "the gang"
	}
	for _, kind := range []struct {
		name        string
		need, limit int64
	}{
		{"thousandths of a core", needs.CPU, limit.CPU},
		{"MB of memory", needs.Memory, limit.Memory},
		{"accelerators", needs.Accelerators, limit.Accelerators},
	} {
		if kind.limit > 0 && kind.need > kind.limit {
			return errors.WithMessagef(ErrOverLimit, "%s needs %d %s, the limit is %d", unit, kind.need, kind.name, kind.limit)
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
