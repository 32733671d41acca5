// Package graph defines jobs as graphs of steps. It contains the types for the submissions of callers and for the
// stored progress of jobs.
package graph

import (
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// ID identifies a job. The caller chooses it, which makes submissions idempotent.
type ID string

// Job is a stored submission. It never changes once it has been accepted.
type Job struct {
	ID            ID
	ClientAccount account.Name
	// Queue is the name of the queue that accepted the job, as it was then.
	Queue string
	// AcceptedBy is the queue as the policy defined it when the job was accepted. The queue with the same address in the
	// current policy defines the job's priority, limits and service. AcceptedBy applies only if there is none and no later
	// settings of the queue are known. It is empty in records of earlier builds.
	AcceptedBy policy.Queue `json:",omitzero"`
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Recurrence is nil if the job runs once.
	Recurrence *Recurrence `json:",omitempty"`
	Accepted   time.Time
}

// Origin says how a job was submitted. A caller's request concerns only jobs of its own queue and account.
type Origin struct {
	// Queue is the name of the queue at that time.
	Queue string
	// Address is the address of the queue. It is empty in records of earlier builds.
	Address policy.Address `json:",omitzero"`
	// ClientAccount is empty for a caller without a key, in a queue that asks for none.
	ClientAccount account.Name
}

// Origin returns how the job was submitted.
func (j *Job) Origin() Origin {
	return Origin{Queue: j.Queue, Address: j.AcceptedBy.Address(), ClientAccount: j.ClientAccount}
}

// SameQueue reports whether two origins have the same queue. The name decides only if an address is not known, as
// another version of the policy may give a queue another name.
func (o Origin) SameQueue(other Origin) bool {
	if o.Address.Known() && other.Address.Known() {
		return o.Address == other.Address
	}
	return o.Queue == other.Queue
}

// Same reports whether two origins have the same queue and account.
func (o Origin) Same(other Origin) bool {
	return o.SameQueue(other) && o.ClientAccount == other.ClientAccount
}

// Key returns the origin without the name of its queue if the address is known. Keys of the same origin are equal.
func (o Origin) Key() Origin {
	if o.Address.Known() {
		o.Queue = ""
	}
	return o
}

// Recurrence makes all steps of a job run several times, at fixed intervals.
type Recurrence struct {
	// Count is the number of occurrences, at least 1.
	Count int
	// First is the time at which the first occurrence may start.
	First    time.Time
	Interval time.Duration
}

// Step is a set of identical tasks.
type Step struct {
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// Needs holds the resources that one task needs.
	Needs resources.Amounts
	// Estimate is the task duration that the caller expects. It is often far from the real duration.
	Estimate time.Duration
	// After lists the indexes of earlier steps whose tasks must all have finished before this step starts.
	After []int `json:",omitempty"`
	// Gang is set if the tasks of the step must all run at the same time and finish together.
	Gang bool `json:",omitempty"`
	// SameRack asks to place all tasks on one rack. The tasks take longer if they are spread over several racks.
	SameRack bool `json:",omitempty"`
	// Checkpoints is set if a stopped task can resume from a checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Speculative is set if several copies of a task may run at a time. The first copy that finishes counts.
	Speculative bool `json:",omitempty"`
	// LongRunning is set if the tasks run until the job is canceled.
	LongRunning bool `json:",omitempty"`
	// Label is a label that the worker must have; empty if any worker will do.
	Label string `json:",omitempty"`
	// DataRack is the rack that holds the tasks' data, empty if there is none. On other racks the tasks take longer.
	DataRack string `json:",omitempty"`
	// SpreadLimit is the maximum number of tasks of one occurrence of the step on one worker; 0 means no limit.
	SpreadLimit int `json:",omitempty"`
	// Image is the name of the tasks' image. Tasks with the same image behave alike.
	Image string `json:",omitempty"`
	// TailTarget is the tail latency that long-running tasks should not exceed; 0 means no target.
	TailTarget time.Duration `json:",omitempty"`
	// Fills is set for filler tasks: they reserve no CPU and run on the processor time that other tasks leave unused.
	Fills bool `json:",omitempty"`
	// AbsenceLimit is the maximum number of the step's long-running tasks that may be out of service after the
	// scheduler has stopped one that is in service; -1 means no limit.
	AbsenceLimit int `json:",omitempty"`
}

// Reserved returns the resources that a worker must have free for one task. Filler tasks reserve no CPU, as they use
// the processor time that other tasks leave unused.
func (s *Step) Reserved() resources.Amounts {
	reserved := s.Needs
	if s.Fills {
		reserved.CPU = 0
	}
	return reserved
}

// Serves reports whether the step's tasks are long-running, answer requests of their own users and have a target for
// the tail latency.
func (s *Step) Serves() bool {
	return s.LongRunning && s.TailTarget > 0
}

// Limits that Validate checks in a submitted job.
const (
	// MaxSpec is the maximum length of the spec in bytes.
	MaxSpec = 4000
	// MaxTasks is the maximum number of tasks in one step.
	MaxTasks = 4096
	// MaxSteps is the maximum number of steps in a job.
	MaxSteps = 256
	// MaxJobTasks is the maximum number of tasks in all steps and occurrences of a job together. A leader holds all of
	// them in memory.
	MaxJobTasks = 8192
	// MaxAmount is the largest amount of a resource that a task may need, in the units of resources.Amounts. The sums
	// over many tasks must not overflow.
	MaxAmount = 1 << 32
	// MaxDuration is the longest estimate, and the longest time from the first to the last occurrence.
	MaxDuration = 10 * 365 * 24 * time.Hour
	// maxYear is the last year of times that can be encoded.
	maxYear = 9999
)

// ErrInvalid reports a submission that violates the rules or limits for jobs.
var ErrInvalid = errors.New("the job is invalid")

// Validate returns ErrInvalid, wrapped with the first mistake found, or nil.
func (j *Job) Validate() error {
	switch {
	case j.ID == "":
		return errors.WithMessage(ErrInvalid, "it has no ID")
	case len(j.Spec) > MaxSpec:
		return errors.WithMessagef(ErrInvalid, "its spec has more than %d bytes", MaxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return errors.WithMessagef(ErrInvalid, "it has %d steps, not 1 to %d", len(j.Steps), MaxSteps)
	}
	if err := j.Recurrence.validate(); err != nil {
		return err
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.validateStep(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks > MaxJobTasks/j.Occurrences() {
		return errors.WithMessagef(ErrInvalid, "all its occurrences have more than %d tasks", MaxJobTasks)
	}
	return nil
}

func (r *Recurrence) validate() error {
	switch {
	case r == nil:
		return nil
	case r.Count < 1 || r.Count > MaxJobTasks:
		return errors.WithMessagef(ErrInvalid, "it has %d occurrences, not 1 to %d", r.Count, MaxJobTasks)
	case r.Count > 1 && r.Interval <= 0:
		return errors.WithMessage(ErrInvalid, "it recurs without an interval")
	case r.Interval < 0 || r.Interval > MaxDuration/time.Duration(r.Count):
		return errors.WithMessage(ErrInvalid, "its last occurrence is due more than ten years after the first")
	case r.First.Year() < 0 || r.First.Add(MaxDuration).Year() > maxYear:
		return errors.WithMessage(ErrInvalid, "the time of its first occurrence is out of range")
	default:
		return nil
	}
}

func (j *Job) validateStep(i int) error {
	step := &j.Steps[i]
	if step.Tasks < 1 || step.Tasks > MaxTasks {
		return errors.WithMessagef(ErrInvalid, "step %d has %d tasks, not 1 to %d", i, step.Tasks, MaxTasks)
	}
	for _, amount := range []int64{step.Needs.CPU, step.Needs.Memory, step.Needs.Accelerators} {
		if amount < 0 || amount > MaxAmount {
			return errors.WithMessagef(ErrInvalid, "step %d needs the amount %d, not 0 to %d", i, amount, MaxAmount)
		}
	}
	if step.Estimate < 0 || step.Estimate > MaxDuration || step.TailTarget < 0 {
		return errors.WithMessagef(ErrInvalid, "step %d has a duration that is negative or too long", i)
	}
	if len(step.After) > i {
		return errors.WithMessagef(ErrInvalid, "step %d waits for %d steps, but %d are earlier", i, len(step.After), i)
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= i {
			return errors.WithMessagef(ErrInvalid, "step %d waits for step %d, which is not an earlier one", i, earlier)
		}
	}
	return nil
}

// Occurrences returns the number of occurrences of the job. Each occurrence runs every step once. A job without a
// recurrence has one occurrence.
func (j *Job) Occurrences() int {
	if j.Recurrence == nil {
		return 1
	}
	return j.Recurrence.Count
}

// Due returns the time at which the given occurrence may start, or the zero time for a job that runs once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Recurrence == nil {
		return time.Time{}
	}
	return j.Recurrence.First.Add(time.Duration(occurrence) * j.Recurrence.Interval)
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
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

// SameSubmission reports whether two submissions with the same ID have the same account, queue and spec.
func (j *Job) SameSubmission(other *Job) bool {
	return j.Origin().Same(other.Origin()) && j.Spec == other.Spec
}
