// Package graph describes jobs as graphs of steps: what callers hand in and what is recorded of its progress.
package graph

import (
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/resources"
)

// ID identifies a job. The caller chooses it, so a repeated submission is the same job.
type ID string

// Job is a submission as it is stored. It never changes after it was accepted.
type Job struct {
	ID            ID
	ClientAccount account.Name
	// Queue names the route on which the job came in; the policy in force says how it is treated.
	Queue string
	// Spec is passed on to the workers as it is.
	Spec  string
	Steps []Step
	// Recurrence is nil for a job that runs once.
	Recurrence *Recurrence `json:",omitempty"`
	Accepted   time.Time
}

// Recurrence runs the steps several times.
type Recurrence struct {
	// Count is at least 1.
	Count    int
	First    time.Time
	Interval time.Duration
}

// Step is a number of equal tasks.
type Step struct {
	// Tasks is at least 1.
	Tasks int
	// Needs is what one task needs.
	Needs resources.Amounts
	// Estimate is the caller's guess of a task's duration; it is often far off.
	Estimate time.Duration
	// After lists earlier steps whose tasks must all have finished before this step starts.
	After []int `json:",omitempty"`
	// Gang tasks run only all together and finish together.
	Gang bool `json:",omitempty"`
	// SameRack asks for one rack; on several, the tasks take longer.
	SameRack bool `json:",omitempty"`
	// Checkpoints is set when a stopped task can resume.
	Checkpoints bool `json:",omitempty"`
	// Speculative tasks may run in several copies; the first that finishes counts.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until the job is canceled.
	LongRunning bool `json:",omitempty"`
	// Label must be among the worker's labels; empty for any worker.
	Label string `json:",omitempty"`
	// DataRack is the rack that holds the data; empty for none. On other racks the tasks take longer.
	DataRack string `json:",omitempty"`
	// SpreadLimit bounds the tasks of one occurrence of the step on one worker; 0 for no bound.
	SpreadLimit int `json:",omitempty"`
	// Image groups tasks that behave alike.
	Image string `json:",omitempty"`
	// TailTarget bounds the tail latency of tasks that serve; 0 for none.
	TailTarget time.Duration `json:",omitempty"`
	// Fills is set for tasks whose processor use comes out of what others leave unused.
	Fills bool `json:",omitempty"`
	// AbsenceLimit is how many tasks the scheduler may take out of service at a time; -1 for no bound.
	AbsenceLimit int `json:",omitempty"`
}

// Reserved returns what a worker must have left for one task. Tasks that fill use the processor time that others leave,
// so none is set aside for them.
func (s *Step) Reserved() resources.Amounts {
	reserved := s.Needs
	if s.Fills {
		reserved.CPU = 0
	}
	return reserved
}

// Serves tells whether the step's tasks answer users of their own, with a bound on their tail latency.
func (s *Step) Serves() bool {
	return s.LongRunning && s.TailTarget > 0
}

// Limits of a submission.
const (
	// MaxSpec bounds the spec in bytes.
	MaxSpec = 4000
	// MaxTasks bounds the tasks of one step.
	MaxTasks = 4096
	// MaxSteps bounds the steps of a job.
	MaxSteps = 256
)

// ErrInvalid reports a submission that can't be a job.
var ErrInvalid = errors.New("the job is invalid")

// Validate returns ErrInvalid with the first mistake that it finds.
func (j *Job) Validate() error {
	switch {
	case j.ID == "":
		return errors.WithMessage(ErrInvalid, "it has no ID")
	case len(j.Spec) > MaxSpec:
		return errors.WithMessagef(ErrInvalid, "its spec has more than %d bytes", MaxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return errors.WithMessagef(ErrInvalid, "it has %d steps, not 1 to %d", len(j.Steps), MaxSteps)
	case j.Recurrence != nil && j.Recurrence.Count > 1 && j.Recurrence.Interval <= 0:
		return errors.WithMessage(ErrInvalid, "it recurs without an interval")
	}
	for i := range j.Steps {
		if err := j.validateStep(i); err != nil {
			return err
		}
	}
	return nil
}

func (j *Job) validateStep(i int) error {
	step := &j.Steps[i]
	if step.Tasks < 1 || step.Tasks > MaxTasks {
		return errors.WithMessagef(ErrInvalid, "step %d has %d tasks, not 1 to %d", i, step.Tasks, MaxTasks)
	}
	if step.Needs.CPU < 0 || step.Needs.Memory < 0 || step.Needs.Accelerators < 0 {
		return errors.WithMessagef(ErrInvalid, "step %d needs a negative amount", i)
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= i {
			return errors.WithMessagef(ErrInvalid, "step %d waits for step %d, which is not an earlier one", i, earlier)
		}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Recurrence == nil {
		return 1
	}
	return j.Recurrence.Count
}

// Due returns when an occurrence may start; the zero time for a job that runs once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Recurrence == nil {
		return time.Time{}
	}
	return j.Recurrence.First.Add(time.Duration(occurrence) * j.Recurrence.Interval)
}

// CriticalPath returns the estimated time of the longest chain of steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, earlier := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// SameSubmission tells whether a repeated submission is the accepted job.
func (j *Job) SameSubmission(other *Job) bool {
	return j.ClientAccount == other.ClientAccount && j.Queue == other.Queue && j.Spec == other.Spec
}
