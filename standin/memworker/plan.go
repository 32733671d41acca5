package memworker

import (
	"time"

	"auburnstack/core/resources"
)

// Plan tells how the tasks of a job behave.
type Plan struct {
	Work  time.Duration
	Needs resources.Amounts
	// Gang is the number of tasks that work only together; 0 for independent tasks.
	Gang int
	// LongRunning tasks are at work after startupTime and never end by themselves.
	LongRunning bool
	// Tasks is the number of tasks of a long-running job, and AbsenceLimit how many of them may be out of service at a
	// time by the scheduler's doing.
	Tasks, AbsenceLimit int
	// TailTarget bounds the tail latency of a long-running task; 0 for none.
	TailTarget time.Duration
	// Fills is set for tasks that use what others leave, and disturb those that serve.
	Fills bool
	// Advised tasks start only with a ticket.
	Advised bool
	// FailingRuns is the number of runs of each task that fail.
	FailingRuns int
}
