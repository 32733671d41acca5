package planner

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

// Finding is a conclusion of the planner that callers log and count: WorkerRestarted, CrashAttributed,
// JobGivenUp or LeaseExpired.
type Finding interface {
	isFinding()
}

// WorkerRestarted reports that a worker has crashed with runs on it and has started again.
type WorkerRestarted struct {
	Worker endpoint.Name
	// Ended is the incarnation that crashed, or 0 if it is no longer known. Next is the new incarnation, or 0 if another
	// worker replied at the worker's address.
	Ended, Next roster.Incarnation
	Runs        []LostRun
}

// LostRun is a run that was lost in a crash of its worker.
type LostRun struct {
	Task graph.TaskID
	Run  graph.Run
	// Age is the time from the run's start until the worker stopped answering.
	Age time.Duration
	// Confirmed is set if a report of the worker had shown that the run survived its start.
	Confirmed bool
}

// CrashAttributed reports that the start of a run may have crashed its worker.
type CrashAttributed struct {
	Task   graph.TaskID
	Run    graph.Run
	Worker endpoint.Name
	// Age is the time from the run's start until the worker stopped answering.
	Age time.Duration
	// Unambiguous is set if nothing but this start is likely to have crashed the worker.
	Unambiguous bool
	// Crashes is the number of crashes that count against the task, UnambiguousCrashes that of the unambiguous ones among
	// them.
	Crashes, UnambiguousCrashes int
}

// JobGivenUp reports that a job was ended because one of its tasks crashes the workers that start it.
type JobGivenUp struct {
	// Task is the task under which the workers have crashed.
	Task                        graph.TaskID
	Crashes, UnambiguousCrashes int
	// ExcusedCrashes is the number of crashes that chance or another task may explain. They are not among Crashes.
	ExcusedCrashes int
}

// LeaseExpired reports that the runs on a worker were taken as lost because its lease has expired.
type LeaseExpired struct {
	Worker endpoint.Name
	Runs   int
	// Registered is set if the worker has a registration. Waited is the time since it has none; 0 if it has one.
	Registered bool
	Waited     time.Duration
}

func (WorkerRestarted) isFinding() {}
func (CrashAttributed) isFinding() {}
func (JobGivenUp) isFinding()      {}
func (LeaseExpired) isFinding()    {}

func (p *Planner) report(f Finding) {
	p.findings = append(p.findings, f)
}

// TakeFindings returns the findings since the last call.
func (p *Planner) TakeFindings() []Finding {
	findings := p.findings
	p.findings = nil
	return findings
}
