package scheduler

import "time"

// rampSteps is the number of stages of equal length in the ramp, the period of limited job starts after a failure
// domain has returned. The limit on starts per second doubles from stage to stage.
const rampSteps = 5

// ramp limits the job starts per second after a failure domain has returned, so that not all its work starts at once.
type ramp struct {
	duration time.Duration
	started  time.Time
	// second is the second in which starts were last counted, as a number of whole seconds since the time in the field
	// started.
	second int
	// starts is the number of jobs started in the second that the field second identifies.
	starts int
}

func (r *ramp) begin(now time.Time) {
	r.started = now
	r.second = 0
	r.starts = 0
}

// limited reports whether the ramp is in progress at the given time.
func (r *ramp) limited(now time.Time) bool {
	return !r.started.IsZero() && now.Sub(r.started) < r.duration
}

// allow reports whether another job may start in the current second. In the first stage, 4 starts per second are
// allowed.
func (r *ramp) allow(now time.Time) bool {
	if !r.limited(now) {
		return true
	}
	elapsed := now.Sub(r.started)
	if second := int(elapsed / time.Second); second != r.second {
		r.second = second
		r.starts = 0
	}
	stage := int(rampSteps * elapsed / r.duration)
	return r.starts < 4<<stage
}

func (r *ramp) countStart() {
	r.starts++
}
