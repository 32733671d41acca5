package planner

import (
	"slices"
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/roster"
)

const (
	// confirmAge is the least age of a run at which a report that lists the run proves that its start has not crashed
	// the worker. A report of a younger run may have been sent just before the crash.
	confirmAge = 500 * time.Millisecond
	// promptCrash is the longest time from the start of a run to the worker's silence for which the start is the likely
	// cause of the crash.
	promptCrash = 250 * time.Millisecond
	// survivalAge is the age from which on a run has survived its start.
	survivalAge = 3 * time.Second
	// maxCrashAge is the age from which on a crash of the worker does not count against a run. Gangs on many workers
	// that run for hours would be given up otherwise.
	maxCrashAge = time.Minute
	// clearingFactor is how much longer than a run that was lost in a crash another run of the unit must last to clear
	// the unit. Workers differ in speed.
	clearingFactor = 4
	// unexplainedSpan is the time after a crash that no start explains during which all crashes count as ambiguous:
	// workers crash for reasons of their own then.
	unexplainedSpan = 10 * time.Second
)

// lostRun is a run that was lost in a crash of its worker.
type lostRun struct {
	unit *unit
	// restored is set if a previous leader ordered the start. Then it is unknown how long before the crash that was.
	restored bool
	// chance is set if the worker may have crashed by chance, as other workers did during the run.
	chance bool
	LostRun
}

// examineCrash weighs which starts may have crashed a worker, and returns the units that it suspects. It must be called
// before the worker's runs are released. A draining or retired worker does not crash: it exits or restarts as planned.
func (p *Planner) examineCrash(w *worker, next roster.Incarnation, now time.Time) []*unit {
	expired := p.retract(p.takeExpired(w, now), w.Name, next)
	if w.State == roster.Draining || w.retired {
		return nil
	}
	runs := p.lostRuns(w, now)
	if len(runs)+len(expired) == 0 {
		return nil
	}
	p.reportRestart(w, next, append(runs, expired...))
	suspected, unambiguous := p.weigh(w, runs, now)
	others := excused(runs)
	for _, run := range suspected {
		p.suspect(run, w, unambiguous)
	}
	for _, run := range others {
		p.excuse(run)
	}
	late, _ := suspects(expired)
	for _, run := range late {
		// The worker may have been cut off for long before it crashed.
		p.suspect(run, w, false)
	}
	return unitsOf(slices.Concat(suspected, late, others))
}

// weigh returns the runs whose start may have crashed their worker, and reports whether the evidence is unambiguous:
// the start of one unit was not confirmed, the worker fell silent promptly after it, and workers do not crash for other
// reasons at this time.
func (p *Planner) weigh(w *worker, runs []lostRun, now time.Time) (suspected []lostRun, unambiguous bool) {
	suspected, explained := suspects(runs)
	quiet := p.lastUnexplained.IsZero() || now.Sub(p.lastUnexplained) >= unexplainedSpan
	if len(runs) > 0 && !explained {
		p.lastUnexplained = now
		p.rememberUnexplained(w, now)
	}
	return suspected, explained && quiet && len(unitsOf(suspected)) == 1
}

// suspects returns the runs that may have crashed their worker. If the worker fell silent promptly after a start that
// was not confirmed, this explains the crash, and only the unconfirmed runs are suspected. Otherwise the confirmed runs
// are suspected as well, unless the crash may be chance.
func suspects(runs []lostRun) (suspected []lostRun, explained bool) {
	var confirmed []lostRun
	for _, run := range runs {
		switch {
		case !run.Confirmed:
			suspected = append(suspected, run)
			explained = explained || run.Age <= promptCrash && !run.restored
		case run.Age < maxCrashAge && !run.chance:
			confirmed = append(confirmed, run)
		}
	}
	if explained {
		return suspected, true
	}
	return mostSuspected(append(suspected, confirmed...)), false
}

// mostSuspected returns the runs of those tasks under which most workers have crashed before, or all runs if none of
// the tasks is strongly suspected yet.
func mostSuspected(runs []lostRun) []lostRun {
	most := 0
	for _, run := range runs {
		most = max(most, run.crashes().Crashes)
	}
	if most < strongSuspicion {
		return runs
	}
	return slices.DeleteFunc(runs, func(run lostRun) bool { return run.crashes().Crashes < most })
}

// excused returns the runs that are not suspected although the start of no unit explains the crash of their worker: it
// may be chance, or another task is suspected more.
func excused(runs []lostRun) []lostRun {
	suspected, explained := suspects(runs)
	if explained {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(runs), func(run lostRun) bool {
		return run.Age >= maxCrashAge || slices.Contains(suspected, run)
	})
}

// unitsOf returns the different units of the given runs, in the order of the runs.
func unitsOf(runs []lostRun) []*unit {
	var units []*unit
	known := map[*unit]bool{}
	for _, run := range runs {
		if !known[run.unit] {
			known[run.unit] = true
			units = append(units, run.unit)
		}
	}
	return units
}

func (p *Planner) reportRestart(w *worker, next roster.Incarnation, runs []lostRun) {
	restarted := WorkerRestarted{Worker: w.Name, Ended: w.Incarnation, Next: next}
	if next == w.Incarnation {
		// The worker has a new name, or crashed before this leader's term. The planner does not know what it was before.
		restarted.Ended = 0
	}
	for _, run := range runs {
		restarted.Runs = append(restarted.Runs, run.LostRun)
	}
	p.report(restarted)
}

// crashedAt returns the time at which a worker that has crashed stopped answering.
func (w *worker) crashedAt(now time.Time) time.Time {
	if w.silentSince.IsZero() {
		return now
	}
	return w.silentSince
}

// lostRuns returns the runs that may have been on a worker when it stopped answering.
func (p *Planner) lostRuns(w *worker, now time.Time) []lostRun {
	if len(w.members) == 0 {
		return nil
	}
	crashed := w.crashedAt(now)
	silent := p.silentWorkers(w)
	var runs []lostRun
	for _, m := range w.sortedMembers() {
		if m.state == planned || m.state == unconfirmed && m.unit.startedAt.After(crashed) {
			continue
		}
		run := m.lostAt(crashed)
		run.chance = run.Confirmed && p.isChance(run, crashed, silent)
		runs = append(runs, run)
	}
	return runs
}

// lostAt returns the member's run as one that was lost in a crash at the given time.
func (m *member) lostAt(crashed time.Time) lostRun {
	return lostRun{unit: m.unit, restored: m.restored, LostRun: LostRun{
		Task: m.unit.task(m.index), Run: m.unit.run, Age: max(crashed.Sub(m.acceptedAt()), 0), Confirmed: m.confirmed,
	}}
}

// lostBeforeTerm reports whether a run that its worker does not report was lost because the worker has restarted since
// a previous leader placed the run.
func (m *member) lostBeforeTerm() bool {
	return m.restored && !m.confirmed && m.unit.newestIncarnation > 0 && m.worker.Incarnation > m.unit.newestIncarnation
}

// examineRestored counts a crash against the units of runs that were lost before this leader's term, and returns these
// units. The evidence is ambiguous because it is unknown how long before the crash the runs were started.
func (p *Planner) examineRestored(w *worker, unlisted []*member, sent, now time.Time) []*unit {
	var runs []lostRun
	for _, m := range unlisted {
		if m.isMissing(sent) && m.lostBeforeTerm() {
			runs = append(runs, m.lostAt(now))
		}
	}
	if len(runs) == 0 {
		return nil
	}
	p.reportRestart(w, w.Incarnation, runs)
	for _, run := range runs {
		p.suspect(run, w, false)
	}
	return unitsOf(runs)
}

// acceptedAt returns the time at which the worker accepted the start of a run, or at which the start was ordered if the
// worker has not answered.
func (m *member) acceptedAt() time.Time {
	if m.state == active {
		return later(m.unit.startedAt, m.answeredAt)
	}
	return m.unit.startedAt
}

// confirm records that a report lists a run. The report proves that the start has not crashed the worker unless the run
// is very young.
func (p *Planner) confirm(m *member, now time.Time) {
	if now.Sub(m.unit.startedAt) < confirmAge {
		return
	}
	m.confirmed = true
	if len(m.unit.crashes) > 0 && m.unit.survived(now) {
		p.acquit(m.unit)
	}
}

// clearingAge returns the age from which on a run shows that the unit does not crash its workers.
func (u *unit) clearingAge() time.Duration {
	return min(clearingFactor*u.crashAge+survivalAge, maxCrashAge)
}

// survived reports whether all tasks of a unit's newest run have reached clearingAge, on workers that answer.
func (u *unit) survived(now time.Time) bool {
	if u.phase != running || now.Sub(u.startedAt) < u.clearingAge() {
		return false
	}
	for _, m := range u.members {
		if !m.confirmed || !m.worker.silentSince.IsZero() {
			return false
		}
	}
	return true
}

// suspect counts a crash against the task of a run, and reports whether it did.
func (p *Planner) suspect(run lostRun, w *worker, unambiguous bool) bool {
	u := run.unit
	if !u.lost(run) {
		return false
	}
	c := run.crashes()
	c.Crashes++
	if unambiguous {
		c.UnambiguousCrashes++
	}
	u.setCrashes(c)
	if u.isolated() {
		p.suspected[u] = struct{}{}
	}
	p.markDirty(u.part)
	p.report(CrashAttributed{
		Task: run.Task, Run: run.Run, Worker: w.Name, Age: run.Age, Unambiguous: unambiguous,
		Crashes: c.Crashes, UnambiguousCrashes: c.UnambiguousCrashes,
	})
	return true
}

// excuse counts a crash for the task of a run although the task is not suspected.
func (p *Planner) excuse(run lostRun) {
	u := run.unit
	if !u.lost(run) {
		return
	}
	c := run.crashes()
	c.ExcusedCrashes++
	u.setCrashes(c)
	p.markDirty(u.part)
}

// lost records that a run of a task was lost in a crash. It returns false if that is known already, or if the unit has
// ended.
func (u *unit) lost(run lostRun) bool {
	c := run.crashes()
	if u.phase == finished || u.job.state.Final() || run.Run <= c.CrashedRun {
		return false
	}
	c.CrashedRun = run.Run
	u.setCrashes(c)
	u.crashAge = max(u.crashAge, run.Age)
	u.excuseOthers(run.Run)
	return true
}

// acquit discards the crashes that were counted for a unit.
func (p *Planner) acquit(u *unit) {
	u.crashes, u.crashAge = nil, 0
	delete(p.suspected, u)
	p.markDirty(u.part)
}

// giveUpDeadly ends the jobs of those of the given units that crash the workers that start them.
func (p *Planner) giveUpDeadly(units []*unit, now time.Time) {
	for _, u := range units {
		c, found := u.deadlyTask()
		if !found || u.job.state.Final() {
			continue
		}
		p.report(JobGivenUp{
			Task: u.task(c.index), Crashes: c.Crashes, UnambiguousCrashes: c.UnambiguousCrashes,
			ExcusedCrashes: c.ExcusedCrashes,
		})
		p.end(u.job, graph.Failed, "a task has crashed the workers that started it", JobFailed, now)
	}
}

// forgetSuspects drops the units that will not run again from the suspected units.
func (p *Planner) forgetSuspects() {
	for u := range p.suspected {
		if u.phase == finished || u.job.state.Final() {
			delete(p.suspected, u)
		}
	}
}
