package scheduler

import "time"

// rampSteps is the number of stages in which the rate of starts doubles after a failure domain came back.
const rampSteps = 5

// ramp limits the starts per second after a failure domain came back, so that work returns without a stampede.
type ramp struct {
	duration time.Duration
	started  time.Time
	// second is the second, counted from started, that starts are counted in.
	second int
	starts int
}

func (r *ramp) begin(now time.Time) {
	r.started = now
	r.second = 0
	r.starts = 0
}

func (r *ramp) limited(now time.Time) bool {
	return !r.started.IsZero() && now.Sub(r.started) < r.duration
}

// allow tells whether another start fits into the current second.
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
