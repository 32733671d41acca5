package memworker

import (
	"time"

	"auburnstack/core/resources"
)

// Plan sets how the tasks of a job behave.
type Plan struct {
	// Work is the time that a task needs to finish.
	Work time.Duration
	// Needs is the amount of resources that each task holds.
	Needs resources.Amounts
	// Label is a label that a worker must have to run the tasks; empty if any worker may.
	Label string
	// Gang is the number of tasks that can only work together; 0 for independent tasks.
	Gang int
	// LongRunning marks tasks that begin to serve startupTime after their start and never finish.
	LongRunning bool
	// Tasks is the number of tasks of a long-running job.
	// AbsenceLimit is the number of tasks of a long-running job that the scheduler may take out of service at the same
	// time.
	Tasks, AbsenceLimit int
	// TailTarget is the upper limit of the tail latency of a long-running task. 0 means that there is no limit.
	TailTarget time.Duration
	// Fills marks filler tasks, which use resources that other tasks leave free. Filler tasks raise the tail latency of
	// the serving tasks on the same worker.
	Fills bool
	// Advised marks tasks that start only with a valid ticket, the permission to start a step on a worker.
	Advised bool
	// FailingRuns is the number of runs of each task that fail before one succeeds.
	FailingRuns int
	// DeadlyTasks is the number of tasks, the first ones of each step, that crash every worker on which they start. The
	// crash follows the start after CrashDelay. If that is 0, the start gets no reply.
	DeadlyTasks int
	CrashDelay  time.Duration
	// Downtime is the time after which a worker that a task has crashed is back, as a new incarnation.
	Downtime time.Duration
}
