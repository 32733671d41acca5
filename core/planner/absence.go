package planner

// fullPercent is the progress of a long-running task that is at work, and the pace of a task that is not held back.
const fullPercent = 100

// atWork tells whether a long-running task serves.
func (m *member) atWork() bool {
	return m.state == active && !m.leaving && m.percent >= fullPercent
}

// mayTakeOut tells whether a unit may be stopped without more tasks of its step being out of service than its job
// allows. All tasks that are not at work count, whatever the cause.
func (p *Planner) mayTakeOut(u *unit) bool {
	limit := u.spec().AbsenceLimit
	if limit < 0 || !u.spec().LongRunning || u.job.state.Final() {
		return true
	}
	if !u.mayServe() {
		return true
	}
	absent := 0
	for _, other := range u.job.units[u.occurrence][u.step] {
		if other != u && !other.atWork() {
			absent += other.size()
		}
	}
	return absent+u.size() <= limit
}

// mayServe tells whether a unit serves as far as is known. Until its worker has reported it, it may.
func (u *unit) mayServe() bool {
	if u.phase != running {
		return false
	}
	for _, m := range u.members {
		if m.state == unknown || m.percent < 0 || m.atWork() {
			return true
		}
	}
	return false
}

// atWork tells whether all tasks of a unit serve.
func (u *unit) atWork() bool {
	if u.phase != running || len(u.members) != u.size() {
		return false
	}
	for _, m := range u.members {
		if !m.atWork() {
			return false
		}
	}
	return true
}
