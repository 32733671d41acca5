// Package verify compares the replies that callers got with the work that the simulated workers ran. It uses only the
// records of the callers and of the workers, not the records of the system between them.
package verify

import (
	"fmt"
	"io"
	"slices"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/io/load"
	standin "auburnstack/standin/worker"
)

// Time limits of the checks, from the targets of the system.
const (
	// DomainOutGrace is the time after an operator's edit in which work may still start in a failure domain that the edit
	// takes out of service.
	DomainOutGrace = 4 * time.Second
	// GangGrace is the longest time for which a part of a gang may run without the rest. It covers the lease of an
	// order and the lease of a task, with the margins of both leases.
	GangGrace = 9500 * time.Millisecond
)

// Window is a period in which a failure domain was out of service.
type Window struct {
	FailureDomain domain.Name
	From          time.Time
	To            time.Time
}

// Evidence holds the records that the checks compare.
type Evidence struct {
	Endpoints []endpoint.Endpoint
	Journal   []standin.JournalEntry
	Report    load.Report
	// OutWindows holds the periods in which a failure domain was out of service.
	OutWindows []Window
	// LostWorkers names the workers that failed permanently. The end of a task on a lost worker may never have been
	// reported, so the task may have had to run again.
	LostWorkers []endpoint.Name
	// IsolatedDomains names the failure domains that an edit could not reach. Isolated failure domains still serve
	// requests and continue their running tasks, but start no tasks. Another failure domain may take over their jobs
	// before the end of an attempt is reported to it; only one end is recorded.
	IsolatedDomains []domain.Name
}

// DropDirectCalls removes the load tool's direct calls from the journal. Direct calls reach endpoints without the
// scheduler, even in a failure domain that is out of service, so they show no fault of the scheduler.
func (e *Evidence) DropDirectCalls() {
	direct := map[string]bool{}
	for _, call := range e.Report.Direct {
		direct[string(call.ID)] = true
	}
	e.Journal = slices.DeleteFunc(e.Journal, func(entry standin.JournalEntry) bool {
		return entry.Request != "" && direct[entry.Request]
	})
}

// Check is the result of one check.
type Check struct {
	Name string
	// Failed is the number of failures that the check found. 0 means that the check passed.
	Failed int
	// Example describes the first failure.
	Example string
}

// fail counts a failure and keeps the description of the first one.
func (c *Check) fail(format string, values ...any) {
	if c.Failed == 0 {
		c.Example = fmt.Sprintf(format, values...)
	}
	c.Failed++
}

// All runs every check.
func All(e Evidence) []Check {
	return []Check{
		e.checkAnswersMatch(), e.checkAnsweredRan(), e.checkNotRun(), e.checkOnceOnly(),
		e.checkAcceptedFinish(), e.checkResultsMatch(), e.checkSingleFinish(), e.checkAttemptsDisjoint(),
		e.checkGangsWhole(), e.checkNoStartsWhileOut(),
	}
}

// Print writes the results of the checks and returns the number of checks that failed.
func Print(w io.Writer, checks []Check) int {
	failed := 0
	for _, c := range checks {
		state := "held"
		if c.Failed > 0 {
			state = fmt.Sprintf("FAILED %d times, first: %s", c.Failed, c.Example)
			failed++
		}
		fmt.Fprintf(w, "%-52s %s\n", c.Name, state)
	}
	return failed
}

func (e Evidence) checkAnswersMatch() Check {
	c := Check{Name: "each answer belongs to its request, whole"}
	for _, r := range e.Report.Requests {
		if r.Wrong {
			c.fail("%s", r.ID)
		}
	}
	return c
}

// runsOfRequests returns how often the workers ran each request.
func (e Evidence) runsOfRequests() map[string]int {
	runs := map[string]int{}
	for _, entry := range e.Journal {
		if entry.Request != "" {
			runs[entry.Request]++
		}
	}
	return runs
}

func (e Evidence) checkAnsweredRan() Check {
	c := Check{Name: "an answered request was run"}
	runs := e.runsOfRequests()
	for _, r := range e.Report.Requests {
		if r.Outcome == "Answered" && runs[string(r.ID)] == 0 {
			c.fail("%s", r.ID)
		}
	}
	return c
}

func (e Evidence) checkNotRun() Check {
	c := Check{Name: "a request refused as not run was not run"}
	runs := e.runsOfRequests()
	for _, r := range e.Report.Requests {
		if r.Outcome == "NotRun" && runs[string(r.ID)] > 0 {
			c.fail("%s ran %d times", r.ID, runs[string(r.ID)])
		}
	}
	return c
}

func (e Evidence) checkOnceOnly() Check {
	c := Check{Name: "a non-idempotent request ran at most once"}
	runs := e.runsOfRequests()
	for _, r := range e.Report.Requests {
		if r.OnceOnly && runs[string(r.ID)] > 1 {
			c.fail("%s ran %d times", r.ID, runs[string(r.ID)])
		}
	}
	return c
}

func (e Evidence) checkAcceptedFinish() Check {
	c := Check{Name: "no accepted job was lost"}
	for _, j := range e.Report.Jobs {
		if j.Accepted && j.State != job.Finished {
			c.fail("%s:%s is %s", j.ClientAccount, j.ID, j.State)
		}
	}
	return c
}

func (e Evidence) checkResultsMatch() Check {
	c := Check{Name: "each result belongs to its job"}
	for _, j := range e.Report.Jobs {
		if j.Wrong {
			c.fail("%s:%s", j.ClientAccount, j.ID)
		}
	}
	return c
}

// failureDomainOf returns the failure domain of a worker, or an empty name if the list of endpoints does not contain
// the worker.
func (e Evidence) failureDomainOf(name endpoint.Name) domain.Name {
	for _, w := range e.Endpoints {
		if w.Name == name {
			return w.FailureDomain
		}
	}
	return ""
}

func (e Evidence) checkNoStartsWhileOut() Check {
	c := Check{Name: "nothing starts in a failure domain that is out"}
	for _, entry := range e.Journal {
		for _, window := range e.OutWindows {
			servedInIsolation := entry.Request != "" && slices.Contains(e.IsolatedDomains, window.FailureDomain)
			if !servedInIsolation && e.failureDomainOf(entry.Worker) == window.FailureDomain &&
				entry.Began.After(window.From.Add(DomainOutGrace)) && entry.Began.Before(window.To) {
				c.fail("%s %s%s, %s after the edit", entry.Worker, entry.Request, entry.Task.Job, entry.Began.Sub(window.From))
			}
		}
	}
	return c
}

// WorkIn returns the accelerator-seconds that tasks in all failure domains used within a window.
func (e Evidence) WorkIn(window Window) float64 {
	total := 0.0
	for _, entry := range e.Journal {
		if entry.Request != "" {
			continue
		}
		from, to := later(entry.Began, window.From), earlier(entry.Ended, window.To)
		if to.After(from) {
			total += to.Sub(from).Seconds() * float64(entry.Accelerators)
		}
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times. If the time a is zero because the task still runs and has no end, earlier
// returns b.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
