// Package speed estimates how fast workers are, relative to the typical worker, from the rates at which tasks of equal
// work progress on them. Speeds are logarithms: 0 is the typical worker, math.Log(2) a worker twice as fast.
package speed

import (
	"math"
	"slices"
	"time"

	"auburnstack/core/endpoint"
)

const (
	// priorDeviation is the standard deviation of the log speeds of all workers. Machines that differ by up to three to
	// one, a third in each of three groups, have 0.40.
	priorDeviation = 0.35
	// forgetTime is the time in which the distance of an estimate from the prior shrinks to 1/e without observations.
	forgetTime = 30 * time.Minute
	// maxLog bounds the absolute value of an estimate. Speeds have been observed between 0.5 and 2.1.
	maxLog = 2.5
	// MaxWorkers bounds the number of workers in a model. The workers observed least recently are dropped first.
	MaxWorkers = 20_000
	// droppedShare is the share of the workers that are dropped together when there are too many.
	droppedShare = 0.1
	// outlier is the number of standard deviations from which on an observation gets less weight, because tasks have
	// heavy tails and workers may be slow for some seconds.
	outlier = 2.5
	// reweightings is the number of times that the weights of outliers are computed anew. In a gang of five with one
	// member that is six times slower, the common effect is within 0.03 after two.
	reweightings = 3
	// minTrust is the least weight of an outlier, relative to its weight without the reduction.
	minTrust = 1e-6
	// maxRate bounds the absolute value of the logarithm of a rate. minDeviation is the least standard deviation of its
	// error.
	maxRate      = 50
	minDeviation = 0.005
)

// Worker identifies a worker and the groups whose estimates apply to it while it has no observations of its own.
type Worker struct {
	Name endpoint.Name
	// Kind is the type of the machine. Estimates of a worker that has come back as another kind no longer apply.
	Kind string
	Rack endpoint.Rack
}

// Rate is the observed rate of progress of one task.
type Rate struct {
	Worker Worker
	// Log is the logarithm of the rate, in any unit that all rates of one observation share. Deviation is the standard
	// deviation of its error.
	Log, Deviation float64
}

// Common is the distribution of what several tasks have in common: the log rate of a task on the typical worker.
type Common struct {
	Mean, Variance float64
}

// Unknown returns the distribution of a common effect about which nothing is known.
func Unknown() Common {
	const variance = 25
	return Common{Variance: variance}
}

// Estimate is the distribution of a worker's log speed.
type Estimate struct {
	Mean, Deviation float64
	// Samples is the number of observations of the worker itself.
	Samples int
}

// Reaches returns the probability that the worker has at least the given relative speed.
func (e Estimate) Reaches(speed float64) float64 {
	return 0.5 * math.Erfc((math.Log(speed)-e.Mean)/(e.Deviation*math.Sqrt2))
}

// Model holds the estimates of all workers. It is not safe for concurrent use.
type Model struct {
	workers map[endpoint.Name]*state
	kinds   map[string]*pool
	racks   map[rackKey]*pool
	// changes counts the observations that moved an estimate noticeably.
	changes uint64
}

// New returns a model without observations.
func New() *Model {
	return &Model{workers: map[endpoint.Name]*state{}, kinds: map[string]*pool{}, racks: map[rackKey]*pool{}}
}

// Observe updates the estimates from the rates of tasks that have a common effect with the given distribution, such as
// the unknown work of a gang, and returns the distribution of this effect afterwards. It ignores rates that are not
// finite or out of range.
func (m *Model) Observe(rates []Rate, common Common, at time.Time) Common {
	terms := m.terms(rates, at)
	if len(terms) == 0 || !(common.Variance > 0) || !finite(common.Mean) {
		return common
	}
	for range reweightings {
		after := combine(terms, common)
		for i := range terms {
			terms[i].reweight(after)
		}
	}
	after := combine(terms, common)
	after.Variance = max(after.Variance, sharedVariance(terms, after))
	for i := range terms {
		m.update(&terms[i], after, len(terms), at)
	}
	m.bound()
	return after
}

// term is one rate in an observation.
type term struct {
	Rate
	state *state
	// variance is the variance of the rate's error. It is raised for outliers by the factor 1/trust.
	variance, trust float64
}

// terms returns the valid rates with the states of their workers, as of the given time. Several rates of one worker
// become one, because they say nothing about its speed relative to each other.
func (m *Model) terms(rates []Rate, at time.Time) []term {
	list := make([]term, 0, len(rates))
	known := make(map[*state]int, len(rates))
	for _, r := range rates {
		if !(math.Abs(r.Log) <= maxRate) || !finite(r.Deviation) || r.Deviation <= 0 {
			continue
		}
		r.Deviation = max(r.Deviation, minDeviation)
		s := m.stateOf(r.Worker, at)
		t := term{Rate: r, state: s, variance: r.Deviation * r.Deviation, trust: 1}
		if i, again := known[s]; again {
			list[i].merge(t)
			continue
		}
		m.advance(s, at)
		known[s] = len(list)
		list = append(list, t)
	}
	return list
}

// advance moves an estimate towards its prior. The pools must sum the estimate as it is afterwards: update takes it out
// of them.
func (m *Model) advance(s *state, at time.Time) {
	prior := m.prior(s.worker)
	m.addToPools(s, -1)
	s.advance(prior, at)
	m.addToPools(s, 1)
}

// merge replaces the rate by its weighted mean with another rate of the same worker.
func (t *term) merge(other term) {
	share := t.variance / (t.variance + other.variance)
	t.Log += share * (other.Log - t.Log)
	t.variance *= 1 - share
}

func finite(x float64) bool {
	return !math.IsNaN(x) && !math.IsInf(x, 0)
}

// combine returns the distribution of the common effect given the rates.
func combine(terms []term, common Common) Common {
	precision := 1 / common.Variance
	sum := common.Mean / common.Variance
	for i := range terms {
		t := &terms[i]
		weight := t.weight()
		precision += weight
		sum += weight * (t.Log - t.state.mean)
	}
	return Common{Mean: sum / precision, Variance: 1 / precision}
}

// weight returns the weight of the rate in the estimate of the common effect.
func (t *term) weight() float64 {
	return t.trust / (t.state.variance + t.variance)
}

// sharedVariance returns the part of the common effect's variance that comes from errors which the workers of a rack
// share. Gangs that run in one rack compare its workers only with each other, so however many there are, the level of
// all remains as uncertain as it was after the first.
func sharedVariance(terms []term, common Common) float64 {
	shares := map[endpoint.Rack]float64{}
	for i := range terms {
		shares[terms[i].Worker.Rack] += terms[i].weight() * common.Variance
	}
	variance := 0.0
	for i := range terms {
		t := &terms[i]
		variance += shares[t.Worker.Rack] * t.weight() * common.Variance * t.state.shared
	}
	return variance
}

// residual returns the part of the log rate that neither the estimate nor the common effect explains.
func (t *term) residual(common Common) float64 {
	return t.Log - t.state.mean - common.Mean
}

// reweight sets the trust in the rate: 1, or less for an outlier.
func (t *term) reweight(common Common) {
	t.trust = 1
	deviations := math.Abs(t.residual(common)) / math.Sqrt(t.state.variance+t.variance)
	if deviations > outlier {
		t.trust = max((outlier/deviations)*(outlier/deviations), minTrust)
	}
}

// update updates the estimate of one worker.
func (m *Model) update(t *term, common Common, size int, at time.Time) {
	s := t.state
	before := s.mean
	m.addToPools(s, -1)
	if size < minWitnesses || !s.changes(t, common, at) {
		s.correct(t, common)
	}
	s.mean = max(-maxLog, min(s.mean, maxLog))
	s.variance = max(s.variance, minVariance)
	s.shared = min(s.shared, s.variance)
	s.samples++
	s.observedAt = at
	m.addToPools(s, 1)
	if math.Abs(s.mean-before) >= noticeable || s.samples == 1 {
		m.changes++
	}
}

// noticeable is the least change of a log speed that Changes counts.
const noticeable = 0.02

// Changes returns the number of noticeable changes of estimates so far.
func (m *Model) Changes() uint64 {
	return m.changes
}

// Estimate returns the distribution of a worker's log speed. For a worker without observations, it is the one of its
// rack and kind.
func (m *Model) Estimate(w Worker, now time.Time) Estimate {
	prior := m.prior(w)
	s, known := m.workers[w.Name]
	if !known || s.worker.Kind != w.Kind {
		return Estimate{Mean: prior.Mean, Deviation: math.Sqrt(prior.Variance)}
	}
	copied := *s
	copied.advance(prior, now)
	return Estimate{Mean: copied.mean, Deviation: math.Sqrt(copied.variance), Samples: copied.samples}
}

// Forget discards the estimate of a worker.
func (m *Model) Forget(name endpoint.Name) {
	if s, known := m.workers[name]; known {
		m.addToPools(s, -1)
		delete(m.workers, name)
	}
}

// Len returns the number of workers with observations.
func (m *Model) Len() int {
	return len(m.workers)
}

// bound drops the workers observed least recently if there are more than MaxWorkers.
func (m *Model) bound() {
	if len(m.workers) <= MaxWorkers {
		return
	}
	list := m.byAge()
	for _, s := range list[:int(droppedShare*float64(len(list)))] {
		m.Forget(s.worker.Name)
	}
}

// byAge returns the states of all workers, those observed least recently first.
func (m *Model) byAge() []*state {
	list := make([]*state, 0, len(m.workers))
	for _, s := range m.workers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *state) int {
		if order := a.observedAt.Compare(b.observedAt); order != 0 {
			return order
		}
		if a.worker.Name < b.worker.Name {
			return -1
		}
		return 1
	})
	return list
}
