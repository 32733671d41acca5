package planner

import (
	"slices"
	"time"

	"auburnstack/core/endpoint"
)

const (
	// dragWindow is the least time over which the progress of a task is measured.
	dragWindow = 700 * time.Millisecond
	// dragFresh is how long a measured rate stands for the present.
	dragFresh = 2 * time.Second
	// dragSiblings is the number of other tasks of its step with which a task is compared.
	dragSiblings = 3
	// dragRatio is how many times slower than usual a task is that shows a slow worker; soundRatio is within the usual.
	dragRatio  = 2.5
	soundRatio = 1.5
	// estimateDoubt is how many times too low an estimate may be before its gang looks slow for it.
	estimateDoubt = 1.6
	// dragTime is how long a worker counts as slow after it was seen so, soundTime how long one that was seen to be sound
	// can't be blamed for a gang.
	dragTime  = 4 * time.Second
	soundTime = 1500 * time.Millisecond
)

// drag tells whether a worker is slow at present, as the progress of running tasks shows before any of them ends.
type drag struct {
	// until is when the worker no longer counts as slow; sound is when it was last seen to work as fast as others.
	until, sound time.Time
}

// progressRate measures how fast a task works.
type progressRate struct {
	// percent is the progress at the beginning of the window.
	percent int
	begun   time.Time
	// value is in percent a second, as of a time; it is not known while at is zero.
	value float64
	at    time.Time
}

// observe takes in a task's progress, and tells whether a window has ended.
func (r *progressRate) observe(percent int, now time.Time) bool {
	if r.begun.IsZero() || percent < r.percent {
		r.percent, r.begun = percent, now
		return false
	}
	took := now.Sub(r.begun)
	if took < dragWindow {
		return false
	}
	r.value, r.at = float64(percent-r.percent)/took.Seconds(), now
	r.percent, r.begun = percent, now
	return true
}

// observeDrag judges a worker by the progress of one of its tasks.
func (p *Planner) observeDrag(m *member, now time.Time) {
	u := m.unit
	if u.spec().LongRunning || m.pace != fullPercent || m.leaving || !m.rate.observe(m.percent, now) {
		return
	}
	if u.spec().Gang {
		p.judgeGangMember(m, now)
		return
	}
	usual, known := u.usualRate(m, now)
	switch {
	case !known:
	case m.rate.value*dragRatio < usual:
		m.worker.drag.until = now.Add(dragTime)
	case m.rate.value*soundRatio > usual:
		m.worker.drag = drag{sound: now}
	}
}

// judgeGangMember compares a gang with its own best time, and with what its kind usually takes. The members of a gang wait
// for each other, so that one slow worker makes all look slow: only those that were not seen to be sound lately are
// blamed, and one that works as fast as usual shows that all are sound.
func (p *Planner) judgeGangMember(m *member, now time.Time) {
	u := m.unit
	u.bestRate = max(u.bestRate, m.rate.value)
	usual := u.bestRate
	if expected := p.speeds.expect(u.job.Queue, u.spec().Estimate); expected > 0 && !u.remote() {
		usual = max(usual, fullPercent/expected.Seconds()/estimateDoubt)
		if m.rate.value*soundRatio > fullPercent/expected.Seconds() {
			m.worker.drag = drag{sound: now}
			return
		}
	}
	if m.rate.value*dragRatio < usual && now.Sub(m.worker.drag.sound) > soundTime {
		m.worker.drag.until = now.Add(dragTime)
	}
}

// remote tells whether a gang that wants one rack, or its data's, works elsewhere, which takes longer.
func (u *unit) remote() bool {
	step := u.spec()
	if !step.SameRack && step.DataRack == "" {
		return false
	}
	racks := u.racks()
	return len(racks) > 1 || step.DataRack != "" && !racks[endpoint.Rack(step.DataRack)]
}

// usualRate is the median rate of the other tasks of a step; the second result is false while too few are known.
func (u *unit) usualRate(of *member, now time.Time) (float64, bool) {
	var rates []float64
	for _, other := range u.job.units[u.occurrence][u.step] {
		for _, m := range other.members {
			if m != of && m.state == active && !m.rate.at.IsZero() && now.Sub(m.rate.at) < dragFresh {
				rates = append(rates, m.rate.value)
			}
		}
	}
	if len(rates) < dragSiblings {
		return 0, false
	}
	slices.Sort(rates)
	return rates[len(rates)/2], true
}

// drags tells whether a worker is slow at present.
func (w *worker) drags(now time.Time) bool {
	return now.Before(w.drag.until)
}
