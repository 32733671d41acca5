package planner

import (
	"math"
	"strings"
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/speed"
)

const (
	// minWatchedPercent is the least progress of a gang's member from which its rate is computed: the rounding to whole
	// percents then causes an error of at most 5 percent.
	minWatchedPercent = 8
	// minWatchedTime is the least time over which a rate is computed.
	minWatchedTime = 400 * time.Millisecond
	// watchTimeout is the time after which the rates of a gang are compared without the members that made too little
	// progress. It exceeds two intervals between reports.
	watchTimeout = 2500 * time.Millisecond
	// almostDone is the progress from which on a member may be waiting for the others of its gang.
	almostDone = 97
	// taskPercent is the progress of an independent task at which its rate is computed.
	taskPercent = 25
	// roundingError is the standard deviation of a progress in whole percents.
	roundingError = 0.29
	// startError is the standard deviation of the time at which a run begins, given the answers to its start orders.
	startError = 80 * time.Millisecond
	// gangDeviation is the standard deviation of the log rates of members of a gang on workers of equal speed, beside
	// the rounding. taskDeviation is that of independent tasks of one step; 0.21 has been measured.
	gangDeviation = 0.02
	taskDeviation = 0.21
)

// watch follows the progress of one run of a unit, from which the speeds of its workers are estimated.
type watch struct {
	run     graph.Run
	members []watchedMember
	// compared is set once the rate of an independent task has been used.
	compared bool
}

// watchedMember holds two readings of the progress of one member.
type watchedMember struct {
	// base is the reading from which the rate is computed and last the newest one. Both are valid only if the fields of
	// the same name are set. begun is set if base is the computed beginning of the run instead of a report.
	base, last       progressReading
	hasBase, hasLast bool
	begun            bool
	// done is set once the member may be waiting for the others.
	done bool
}

// progressReading is the progress of a task at a time of its worker's own clock.
type progressReading struct {
	percent int
	clock   time.Duration
}

// elapsed returns the time and the progress in percent between the two readings of a member.
func (m *watchedMember) elapsed() (time.Duration, float64) {
	if !m.hasBase || !m.hasLast {
		return 0, 0
	}
	percents := float64(m.last.percent - m.base.percent)
	if m.begun {
		// Reported percents are rounded down, but the beginning is exactly 0.
		percents += 0.5
	}
	return m.last.clock - m.base.clock, percents
}

// rate returns the log rate between the two readings and its deviation. The result is false if they are too close.
func (m *watchedMember) rate(minPercent float64) (log, deviation float64, ok bool) {
	passed, percents := m.elapsed()
	if passed < minWatchedTime || percents < minPercent {
		return 0, 0, false
	}
	relative := roundingError * math.Sqrt2 / percents
	if m.begun {
		relative = math.Hypot(roundingError/percents, startError.Seconds()/passed.Seconds())
	}
	return math.Log(percents / fullPercent / passed.Seconds()), math.Hypot(gangDeviation, relative), true
}

// machineOf returns the identity under which the speed of a worker is estimated.
func machineOf(w *worker) speed.Worker {
	kind := []string{w.Service}
	for _, label := range w.Labels {
		if label != string(w.Rack) {
			kind = append(kind, label)
		}
	}
	return speed.Worker{Name: w.Name, Kind: strings.Join(kind, " "), Rack: w.Rack}
}

// showsSpeed reports whether the progress of a unit depends on the speeds of its workers alone. Tasks outside the rack
// of their data take longer, and filler tasks run on the processor time that other tasks leave.
func (u *unit) showsSpeed() bool {
	step := u.spec()
	return step.Tasks > 1 && !step.LongRunning && !step.Fills && step.DataRack == ""
}

// watchProgress learns from the progress of a member in its worker's report.
func (p *Planner) watchProgress(m *member, percent int, now time.Time) {
	u := m.unit
	if p.speeds == nil || u.phase != running || m.stopping || !u.showsSpeed() {
		return
	}
	if u.watch == nil || u.watch.run != u.run {
		u.watch = &watch{run: u.run, members: make([]watchedMember, len(u.members))}
	}
	if u.watch.compared {
		return
	}
	watched := &u.watch.members[m.index]
	if percent >= almostDone {
		watched.done = true
	} else {
		watched.add(m, progressReading{percent: percent, clock: m.worker.clock})
	}
	switch {
	case u.spec().Gang:
		p.compareGang(u, now)
	case percent >= taskPercent && percent < almostDone && watched.begun:
		p.compareTask(m, now)
	}
}

// add adds a reading of a member. The first one is compared with the computed beginning of the run if that is known. A
// resumed run restores its checkpoint first, which is no work.
func (m *watchedMember) add(of *member, reading progressReading) {
	switch {
	case m.hasBase:
		m.last, m.hasLast = reading, true
	case of.unit.resumed || of.restored:
		if m.hasLast && reading.percent > m.last.percent {
			m.base, m.hasBase, m.hasLast = reading, true, false
			return
		}
		m.last, m.hasLast = reading, true
	default:
		begin, known := of.unit.beganAt()
		if passed := of.worker.reportedAt.Sub(begin); known && passed > 0 {
			m.base, m.hasBase, m.begun = progressReading{clock: reading.clock - passed}, true, true
			m.last, m.hasLast = reading, true
			return
		}
		m.base, m.hasBase = reading, true
	}
}

// beganAt returns the time at which the last member of a run accepted its start, if all have.
func (u *unit) beganAt() (time.Time, bool) {
	var begin time.Time
	for _, m := range u.members {
		if m.answeredAt.IsZero() {
			return begin, false
		}
		begin = later(begin, m.answeredAt)
	}
	return begin, true
}

// compareGang updates the speeds of a gang's workers once all of its members have made enough progress since the last
// time, or after watchTimeout.
func (p *Planner) compareGang(u *unit, now time.Time) {
	overdue := false
	ready := true
	for i := range u.watch.members {
		watched := &u.watch.members[i]
		passed, _ := watched.elapsed()
		overdue = overdue || passed >= watchTimeout
		if _, _, ok := watched.rate(minWatchedPercent); !ok && !watched.done {
			ready = false
		}
	}
	if ready || overdue {
		p.observeGang(u, now)
	}
}

// observeGang updates the speeds of a gang's workers and begins to watch anew.
func (p *Planner) observeGang(u *unit, now time.Time) {
	var rates []speed.Rate
	for i := range u.watch.members {
		watched := &u.watch.members[i]
		if log, deviation, ok := watched.rate(minWatchedPercent); ok {
			rates = append(rates, speed.Rate{Worker: u.members[i].worker.machine, Log: log, Deviation: deviation})
		}
		if watched.hasBase && watched.hasLast {
			watched.base, watched.hasLast, watched.begun = watched.last, false, false
		}
	}
	if len(rates) > 1 {
		p.speeds.Observe(rates, speed.Unknown(), now)
	}
}

// compareTask updates the speed of the worker of an independent task from the task's rate and from the rates of the
// tasks of its step before.
func (p *Planner) compareTask(m *member, now time.Time) {
	if log, deviation, ok := m.unit.watch.members[0].rate(taskPercent); ok {
		p.observeTask(m, log, deviation, now)
	}
}

// watchEnd learns from the end of an independent task whose progress was not reported in time.
func (p *Planner) watchEnd(m *member, now time.Time) {
	u := m.unit
	if p.speeds == nil || u.spec().Gang || u.resumed || m.restored || !u.showsSpeed() {
		return
	}
	if u.watch != nil && u.watch.run == u.run && u.watch.compared {
		return
	}
	begin, known := u.beganAt()
	took := now.Sub(begin)
	if !known || took < minWatchedTime {
		return
	}
	u.watch = &watch{run: u.run, members: make([]watchedMember, 1)}
	p.observeTask(m, -math.Log(took.Seconds()), startError.Seconds()/took.Seconds(), now)
}

func (p *Planner) observeTask(m *member, log, deviation float64, now time.Time) {
	j := m.unit.job
	key := stepKey{occurrence: m.unit.occurrence, step: m.unit.step}
	common, known := j.rates[key]
	if !known {
		common = speed.Unknown()
	}
	if j.rates == nil {
		j.rates = map[stepKey]speed.Common{}
	}
	rate := speed.Rate{Worker: m.worker.machine, Log: log, Deviation: math.Hypot(taskDeviation, deviation)}
	j.rates[key] = p.speeds.Observe([]speed.Rate{rate}, common, now)
	m.unit.watch.compared = true
}
