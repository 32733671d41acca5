package speed

import "auburnstack/core/endpoint"

const (
	// poolShrinkage is the number of workers whose estimates weigh as much in a pool as the pool's own prior.
	poolShrinkage = 4
	// minPoolVariance is the least variance of speeds in a pool of workers that seem alike.
	minPoolVariance = 0.1 * 0.1
)

// pool sums the estimates of workers of one kind, or of one kind in one rack. It gives the prior of a worker there.
type pool struct {
	// workers is the number of workers. weight, sum and squares are sums over them of their weights, weighted means and
	// weighted squares of means.
	workers              int
	weight, sum, squares float64
}

type rackKey struct {
	kind string
	rack endpoint.Rack
}

// weight returns the weight of an estimate in its pools. It grows from 0 to 1 with the number of observations.
func (s *state) weight() float64 {
	return float64(s.samples) / float64(s.samples+1)
}

// addToPools adds an estimate to the pools of its worker, or takes it out if the sign is -1.
func (m *Model) addToPools(s *state, sign float64) {
	key := rackKey{kind: s.worker.Kind, rack: s.worker.Rack}
	addToPool(m.kinds, key.kind, s, sign)
	addToPool(m.racks, key, s, sign)
}

func addToPool[K comparable](pools map[K]*pool, key K, s *state, sign float64) {
	p := pools[key]
	if p == nil {
		p = &pool{}
		pools[key] = p
	}
	weight := sign * s.weight()
	p.workers += int(sign)
	p.weight += weight
	p.sum += weight * s.mean
	p.squares += weight * s.mean * s.mean
	if p.workers == 0 {
		delete(pools, key)
	}
}

// prior returns the distribution of the log speed of a worker without observations.
func (m *Model) prior(w Worker) Common {
	all := Common{Variance: priorDeviation * priorDeviation}
	return m.racks[rackKey{kind: w.Kind, rack: w.Rack}].shrink(m.kinds[w.Kind].shrink(all))
}

// shrink returns the distribution of speeds in the pool, given the one in the larger group that the pool belongs to.
func (p *pool) shrink(larger Common) Common {
	if p == nil || p.weight <= 0 {
		return larger
	}
	weight := p.weight + poolShrinkage
	mean := (p.sum + poolShrinkage*larger.Mean) / weight
	spread := max(p.squares-2*mean*p.sum+mean*mean*p.weight, 0)
	return Common{Mean: mean, Variance: max((spread+poolShrinkage*larger.Variance)/weight, minPoolVariance)}
}
