// Package duration learns how long tasks take relative to their callers' estimates, as a distribution: estimates are
// often wrong by a factor of two, and some tasks take several times as long as the others.
package duration

import (
	"math"
	"time"

	"auburnstack/core/account"
)

const (
	// bins is the number of classes of log ratios, from firstBin on, each binWidth wide. They reach from 0.07 to 43 times
	// the estimate; ratios outside count in the first or last class.
	bins     = 32
	firstBin = -2.6
	binWidth = 0.2
	// memory is the number of samples that a distribution remembers: older ones lose weight.
	memory = 200
	// queueWeight is the number of samples of a key that weigh as much as the distribution of its queue, and of a queue
	// that weigh as much as the prior.
	queueWeight = 8
	// priorDeviation is the standard deviation of the log ratio in the prior. priorHeavy is the share of tasks that take
	// heavyFactor times as long.
	priorDeviation = 0.7
	priorHeavy     = 0.03
	heavyFactor    = 7
	// MaxKeys bounds the number of keys with a distribution of their own. Further keys use the one of their queue.
	MaxKeys = 8192
	// maxQueues bounds the number of queues. Further queues use the prior.
	maxQueues = 4096
)

// Key identifies tasks that are expected to be alike.
type Key struct {
	Queue   string
	Account account.Name
	// Shape distinguishes gangs from independent tasks, and tasks of different sizes.
	Shape string
}

// Model holds the distributions. It is not safe for concurrent use.
type Model struct {
	keys   map[Key]*histogram
	queues map[string]*histogram
	prior  histogram
}

// New returns a model without samples.
func New() *Model {
	m := &Model{keys: map[Key]*histogram{}, queues: map[string]*histogram{}}
	for i := range bins {
		m.prior.weights[i] = float32((1-priorHeavy)*normal(i, 0) + priorHeavy*normal(i, math.Log(heavyFactor)))
		m.prior.total += m.prior.weights[i]
	}
	return m
}

// normal returns the weight of a class in a normal distribution with the given mean.
func normal(bin int, mean float64) float64 {
	x := (firstBin + (float64(bin)+0.5)*binWidth - mean) / priorDeviation
	return math.Exp(-x * x / 2)
}

// histogram holds the weights of the classes of log ratios.
type histogram struct {
	weights [bins]float32
	total   float32
}

func (h *histogram) add(bin int) {
	if h.total >= memory {
		for i := range h.weights {
			h.weights[i] *= 1 - 1.0/memory
		}
		h.total *= 1 - 1.0/memory
	}
	h.weights[bin]++
	h.total++
}

// Observe adds the duration of a finished task on a worker of relative speed 1.
func (m *Model) Observe(k Key, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	position := (math.Log(float64(took)/float64(estimate)) - firstBin) / binWidth
	bin := int(max(0, min(position, bins-1)))
	if h := at(m.queues, k.Queue, maxQueues); h != nil {
		h.add(bin)
	}
	if h := at(m.keys, k, MaxKeys); h != nil {
		h.add(bin)
	}
}

// at returns the histogram of a key. It adds one unless there are too many.
func at[K comparable](all map[K]*histogram, key K, limit int) *histogram {
	h := all[key]
	if h == nil && len(all) < limit {
		h = &histogram{}
		all[key] = h
	}
	return h
}

// Quantile returns the duration within which a task ends with the given probability, on a worker of relative speed 1.
func (m *Model) Quantile(k Key, estimate time.Duration, q float64) time.Duration {
	shares := m.shares(k)
	sum := 0.0
	for i, share := range shares {
		if sum+share >= q {
			part := 0.5
			if share > 0 {
				part = (q - sum) / share
			}
			return time.Duration(math.Exp(firstBin+(float64(i)+part)*binWidth) * float64(estimate))
		}
		sum += share
	}
	return time.Duration(math.Exp(firstBin+bins*binWidth) * float64(estimate))
}

// shares returns the probability of each class: that of the key, drawn towards that of its queue and of the prior.
func (m *Model) shares(k Key) [bins]float64 {
	var shares [bins]float64
	for i := range shares {
		shares[i] = float64(m.prior.weights[i] / m.prior.total)
	}
	for _, h := range []*histogram{m.queues[k.Queue], m.keys[k]} {
		if h == nil {
			continue
		}
		for i := range shares {
			shares[i] = (queueWeight*shares[i] + float64(h.weights[i])) / (queueWeight + float64(h.total))
		}
	}
	return shares
}
