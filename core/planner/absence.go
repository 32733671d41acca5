package planner

// fullPercent is the progress of a long-running task that is at work, and the pace of a task that is not held back.
const fullPercent = 100

// inService tells whether a long-running task serves.
func (m *member) inService() bool {
	return m.state == active && !m.stopping && m.percent >= fullPercent
}

// mayStop tells whether a unit may be stopped without more tasks of its step being out of service than its job
// allows. All tasks that are not at work count, whatever the cause.
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

// mayBeInService tells whether a unit serves as far as is known. Until its worker has reported it, it may.
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

// inService tells whether all tasks of a unit serve.
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
