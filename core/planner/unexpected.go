package planner

import "auburnstack/core/resources"

// unexpectedRun is a run that a worker has reported and that should not exist there, counted for its account.
type unexpectedRun struct {
	holding *holding
	needs   resources.Amounts
}

// countUnexpected counts a run that should not exist on its worker. The run also counts for the account of its job if
// the planner has the job.
func (p *Planner) countUnexpected(w *worker, run *RunningTask) {
	w.unwantedRuns++
	j, known := p.jobs[run.Task.Job]
	if !known {
		return
	}
	u := j.findUnit(run.Task.Occurrence, run.Task.Step, run.Task.Index)
	if u == nil {
		return
	}
	needs := u.spec().Needs
	j.holding.unexpected = j.holding.unexpected.Add(needs)
	w.unexpected = append(w.unexpected, unexpectedRun{holding: j.holding, needs: needs})
}

// clearUnexpected stops counting the unexpected runs on the worker for their accounts, because they have ended or are
// about to be counted again.
func (w *worker) clearUnexpected() {
	for _, run := range w.unexpected {
		run.holding.unexpected = run.holding.unexpected.Sub(run.needs)
	}
	w.unexpected = w.unexpected[:0]
}

// holdsLimited reports whether an unexpected run on the worker counts for an account with a limit.
func (w *worker) holdsLimited() bool {
	for _, run := range w.unexpected {
		if run.holding.limited {
			return true
		}
	}
	return false
}
