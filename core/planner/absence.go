package planner

// fullPercent is the progress of a long-running task that is in service, and the pace of a task that is not throttled.
const fullPercent = 100

// inService reports whether a long-running task has completed its startup and is not being stopped.
func (m *member) inService() bool {
	return m.state == active && !m.stopping && m.percent >= fullPercent
}

// mayStop reports whether a unit may be stopped without exceeding the absence limit of its step, the maximum number of
// the step's tasks that may be out of service. Every task of the step that is not in service counts as absent, whatever
// the cause of its absence. A unit that is already out of service may always be stopped.
func (p *Planner) mayStop(u *unit) bool {
	limit := u.spec().AbsenceLimit
	if limit < 0 || !u.spec().LongRunning || u.job.state.Final() {
		return true
	}
	if !u.mayBeInService() {
		return true
	}
	absent := 0
	for _, other := range u.job.units[u.occurrence][u.step] {
		if other != u && !other.inService() {
			absent += other.size()
		}
	}
	return absent+u.size() <= limit
}

// mayBeInService reports whether a unit may be in service. A unit counts as possibly in service until its worker has
// reported its progress.
func (u *unit) mayBeInService() bool {
	if u.phase != running {
		return false
	}
	for _, m := range u.members {
		if m.state == unconfirmed || m.percent < 0 || m.inService() {
			return true
		}
	}
	return false
}

// inService reports whether all tasks of a unit are in service.
func (u *unit) inService() bool {
	if u.phase != running || len(u.members) != u.size() {
		return false
	}
	for _, m := range u.members {
		if !m.inService() {
			return false
		}
	}
	return true
}
