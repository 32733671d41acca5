package speed

import (
	"math"
	"time"
)

const (
	// minVariance is the least variance of an estimate. Speeds vary by a few percent from one second to the next.
	minVariance = 0.03 * 0.03
	// surprise is the number of standard deviations by which a rate must differ from the estimate to be a sign of a
	// changed speed. minSurprises successive signs change the estimate.
	surprise     = 4
	minSurprises = 2
	// minWitnesses is the least number of rates in an observation that show a changed speed. With two it is unknown
	// which worker has changed.
	minWitnesses = 3
	// transientLimit is the time after which a changed speed counts as lasting. changeMemory is the time without
	// observations after which the earlier speed is assumed again, because workers are often slow for some seconds only.
	transientLimit = time.Minute
	changeMemory   = 10 * time.Second
	// returnedVariance is added to the variance of the earlier speed when it is assumed again.
	returnedVariance = 0.1 * 0.1
)

// state is the estimate of one worker.
type state struct {
	worker Worker
	// mean and variance describe the log speed at the time updatedAt.
	mean, variance float64
	updatedAt      time.Time
	// shared is the part of the variance that the workers compared with this one have in common.
	shared float64
	// observedAt is the time of the last observation, samples the number of all.
	observedAt time.Time
	samples    int
	// surprises counts the successive rates that were too high, or with a negative sign too low, for the estimate.
	surprises int
	// earlier is the estimate before the speed changed at changedAt. It is nil if the speed has not changed recently.
	earlier   *Common
	changedAt time.Time
}

// stateOf returns the state of a worker. It begins with the prior for a worker that is unknown or of another kind.
func (m *Model) stateOf(w Worker, at time.Time) *state {
	s, known := m.workers[w.Name]
	switch {
	case known && s.worker == w:
		return s
	case known && s.worker.Kind == w.Kind:
		m.addToPools(s, -1)
		s.worker = w
		m.addToPools(s, 1)
		return s
	case known:
		m.Forget(w.Name)
	}
	prior := m.prior(w)
	s = &state{worker: w, mean: prior.Mean, variance: prior.Variance, updatedAt: at, observedAt: at}
	m.workers[w.Name] = s
	m.addToPools(s, 1)
	return s
}

// advance moves the estimate towards the prior, according to the time that has passed.
func (s *state) advance(prior Common, at time.Time) {
	if s.earlier != nil && at.Sub(s.observedAt) > changeMemory {
		s.restoreEarlier(returnedVariance)
	}
	passed := at.Sub(s.updatedAt)
	if passed <= 0 {
		return
	}
	kept := math.Exp(-passed.Seconds() / forgetTime.Seconds())
	s.mean = prior.Mean + kept*(s.mean-prior.Mean)
	if widest := max(prior.Variance, s.variance); s.variance < widest {
		s.variance = widest + kept*kept*(s.variance-widest)
	}
	s.updatedAt = at
}

func (s *state) restoreEarlier(added float64) {
	s.mean, s.variance = s.earlier.Mean, s.earlier.Variance+added
	s.earlier, s.surprises = nil, 0
}

// correct moves the estimate towards the observed rate. The errors of the estimate and of the common effect that are
// shared by the compared workers are the same error in the worst case, and then don't cancel out.
func (s *state) correct(t *term, common Common) {
	total := (s.variance + t.variance) / t.trust
	gain := s.variance / total
	s.mean += gain * t.residual(common)
	own, noise := s.variance-s.shared, total-s.variance
	shared := (1-gain)*math.Sqrt(s.shared) + gain*math.Sqrt(common.Variance)
	after := (1-gain)*(1-gain)*own + gain*gain*noise + shared*shared
	s.variance = min(s.variance, after)
	s.shared = min(shared*shared, s.variance)
}

// changes updates the estimate and returns true if the rate is the last of enough signs of a changed speed.
func (s *state) changes(t *term, common Common, at time.Time) bool {
	error2 := t.variance + common.Variance
	if s.earlier != nil {
		distance := t.Log - common.Mean - s.earlier.Mean
		switch {
		case math.Abs(distance) < surprise*math.Sqrt(s.earlier.Variance+error2):
			s.restoreEarlier(0)
		case at.Sub(s.changedAt) > transientLimit:
			s.earlier = nil
		}
		return false
	}
	residual := t.residual(common)
	switch sign := int(math.Copysign(1, residual)); {
	case math.Abs(residual) < surprise*math.Sqrt(s.variance+error2):
		s.surprises = 0
		return false
	case s.surprises*sign > 0:
		s.surprises += sign
	default:
		s.surprises = sign
	}
	if s.surprises < minSurprises && s.surprises > -minSurprises {
		return false
	}
	if s.samples >= minSurprises+1 {
		s.earlier, s.changedAt = &Common{Mean: s.mean, Variance: s.variance}, at
	}
	s.surprises = 0
	s.mean, s.variance, s.shared = t.Log-common.Mean, error2, common.Variance
	return true
}
