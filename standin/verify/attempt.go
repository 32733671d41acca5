package verify

import (
	"slices"
	"time"

	"auburnstack/core/job"
	worker "auburnstack/io/endpoint"
	standin "auburnstack/standin/worker"
)

// attempt holds the journal entries of one attempt of a job from all workers.
type attempt struct {
	task    worker.Task
	members []standin.JournalEntry
}

// began returns the times at which the first and the last member of the gang began.
func (a attempt) began() (first, last time.Time) {
	first, last = a.members[0].Began, a.members[0].Began
	for _, m := range a.members {
		if m.Began.Before(first) {
			first = m.Began
		}
		if m.Began.After(last) {
			last = m.Began
		}
	}
	return first, last
}

// ended returns the time at which the last member of the gang ended.
func (a attempt) ended() time.Time {
	var last time.Time
	for _, m := range a.members {
		if m.Ended.After(last) {
			last = m.Ended
		}
	}
	return last
}

// finished reports whether all members of the gang ran and finished.
func (a attempt) finished() bool {
	for _, m := range a.members {
		if m.State != worker.Finished {
			return false
		}
	}
	return len(a.members) == a.members[0].Members
}

// attempts groups the journal entries of tasks by attempt of a job.
func (e Evidence) attempts() map[worker.Task]attempt {
	attempts := map[worker.Task]attempt{}
	for _, entry := range e.Journal {
		if entry.Request != "" {
			continue
		}
		a := attempts[entry.Task]
		a.task = entry.Task
		a.members = append(a.members, entry)
		attempts[entry.Task] = a
	}
	return attempts
}

func (e Evidence) checkSingleFinish() Check {
	c := Check{Name: "no job finished twice"}
	finishes := map[job.ID]int{}
	for task, a := range e.attempts() {
		if a.finished() && !e.endMayBeUnknown(a) {
			finishes[task.Job]++
		}
	}
	for id, count := range finishes {
		if count > 1 {
			c.fail("%s finished %d times", id, count)
		}
	}
	return c
}

// endMayBeUnknown reports whether an attempt ran on a lost worker or in an isolated failure domain, so that the rest
// of the fleet may not know its end.
func (e Evidence) endMayBeUnknown(a attempt) bool {
	for _, m := range a.members {
		if slices.Contains(e.LostWorkers, m.Worker) || slices.Contains(e.IsolatedDomains, e.failureDomainOf(m.Worker)) {
			return true
		}
	}
	return false
}

func (e Evidence) checkAttemptsDisjoint() Check {
	c := Check{Name: "no two attempts of a job ran at the same time"}
	byJob := map[job.ID][]attempt{}
	for task, a := range e.attempts() {
		if !e.endMayBeUnknown(a) {
			byJob[task.Job] = append(byJob[task.Job], a)
		}
	}
	for id, attempts := range byJob {
		for i, a := range attempts {
			for _, b := range attempts[i+1:] {
				firstA, _ := a.began()
				firstB, _ := b.began()
				if firstA.Before(b.ended()) && firstB.Before(a.ended()) {
					c.fail("%s attempts %d and %d", id, a.task.Attempt, b.task.Attempt)
				}
			}
		}
	}
	return c
}

func (e Evidence) checkGangsWhole() Check {
	c := Check{Name: "no part of a gang ran without the rest"}
	for task, a := range e.attempts() {
		first, last := a.began()
		if last.Sub(first) > GangGrace {
			c.fail("%s attempt %d: members began %s apart", task.Job, task.Attempt, last.Sub(first))
		}
		if len(a.members) < a.members[0].Members && a.ended().Sub(first) > GangGrace {
			c.fail("%s attempt %d: %d of %d members ran", task.Job, task.Attempt, len(a.members), a.members[0].Members)
		}
		a.checkStops(&c)
	}
	return c
}

// checkStops checks that the other members end within GangGrace after a member was stopped or failed.
func (a attempt) checkStops(c *Check) {
	for _, m := range a.members {
		if m.State == worker.Finished || m.Ended.IsZero() {
			continue
		}
		if alone := a.ended().Sub(m.Ended); alone > GangGrace {
			c.fail("%s attempt %d: ran %s without %s", a.task.Job, a.task.Attempt, alone, m.Worker)
		}
	}
}
