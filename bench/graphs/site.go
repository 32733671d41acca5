package main

import (
	"fmt"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

const service = "assay"

// jobKind is a jobKind of work that callers send.
type jobKind struct {
	queue    string
	priority int
	// rate is the number of jobs a second.
	rate float64
	// width is the mean number of tasks of a gang or batch, at most maxWidth; work the mean time of one.
	width    float64
	maxWidth int
	work     time.Duration
	maxWork  time.Duration
	needs    resources.Amounts
	// accelerators are drawn from for each job.
	accelerators []int64
	// gang, sameRack and checkpoints are shares of the jobs.
	gang, sameRack, checkpoints float64
	// estimateError is the relative error of the callers' estimates.
	estimateError float64
	// failing is the share of the runs that fail by their own fault.
	failing     float64
	maxAttempts int
	stretch     float64
	target      time.Duration
	// value and lateValue are what a job of mean size brings within its objective, and within three times of it.
	value, lateValue float64
}

// site is a cluster with its kinds of work.
type site struct {
	name           string
	failureDomains []string
	workers        int
	rackSize       int
	capacity       resources.Amounts
	// slowdowns are dealt to the workers in turn: how many times longer tasks take.
	slowdowns []float64
	kinds     []jobKind
	stopTime  time.Duration
}

// kingston is the first site of today.
func kingston() site {
	return site{
		name: "kingston", failureDomains: []string{"kin", "spt", "mby", "mor"}, workers: 48, rackSize: 6,
		capacity: resources.Amounts{CPU: 128_000, Memory: 524_288, Accelerators: 8}, slowdowns: []float64{1, 1, 1.3},
		stopTime: 400 * time.Millisecond,
		kinds: []jobKind{
			{
				queue: "reconciliation", priority: 1, rate: 0.65, width: 5, maxWidth: 30, work: 6800 * time.Millisecond,
				maxWork: 11 * time.Second, needs: resources.Amounts{CPU: 52_000, Memory: 210_000},
				accelerators: []int64{1, 2, 4, 8, 8}, gang: 1, sameRack: 0.6, checkpoints: 0.45, estimateError: 0.5,
				failing: 0.05, maxAttempts: 2, stretch: 3, target: time.Second, value: 3, lateValue: 0.9,
			},
			{
				queue: "spectral", rate: 2, width: 3.4, maxWidth: 21, work: 2500 * time.Millisecond,
				maxWork: 8 * time.Second, needs: resources.Amounts{CPU: 15_000, Memory: 61_000},
				accelerators: []int64{1, 2, 4, 8, 8}, gang: 1, sameRack: 0.8, estimateError: 0.9,
				failing: 0.05, maxAttempts: 4, stretch: 1.5, target: 250 * time.Millisecond, value: 4, lateValue: 0.8,
			},
			{
				queue: "recalculation", priority: 2, rate: 0.49, width: 16, maxWidth: 94, work: 7600 * time.Millisecond,
				maxWork: 11 * time.Second, needs: resources.Amounts{CPU: 11_000, Memory: 59_000},
				accelerators: []int64{1}, checkpoints: 0.45, estimateError: 0.5,
				failing: 0.05, maxAttempts: 3, stretch: 3, target: 3 * time.Second, value: 1, lateValue: 0.3,
			},
		},
	}
}

// association is the second site of today.
func association() site {
	return site{
		name: "association", failureDomains: []string{"suva", "lautoka", "labasa"}, workers: 48, rackSize: 8,
		capacity: resources.Amounts{CPU: 64_000, Memory: 131_072, Accelerators: 8}, slowdowns: []float64{1, 1, 1.3},
		stopTime: 900 * time.Millisecond,
		kinds: []jobKind{
			{
				queue: "diagnosis", priority: 1, rate: 0.7, width: 4, maxWidth: 24, work: 8500 * time.Millisecond,
				maxWork: 11 * time.Second, needs: resources.Amounts{CPU: 26_000, Memory: 68_000},
				accelerators: []int64{1, 2, 4, 8, 8}, gang: 1, sameRack: 0.6, checkpoints: 0.45, estimateError: 0.9,
				failing: 0.005, maxAttempts: 4, stretch: 3, target: time.Second, value: 3, lateValue: 0.9,
			},
			{
				queue: "lookup", rate: 1.57, width: 3, maxWidth: 18, work: 2500 * time.Millisecond,
				maxWork: 8 * time.Second, needs: resources.Amounts{CPU: 7_500, Memory: 11_000},
				accelerators: []int64{1, 2, 4, 8, 8}, gang: 1, sameRack: 0.8, estimateError: 0.9,
				failing: 0.05, maxAttempts: 2, stretch: 1.5, target: 250 * time.Millisecond, value: 4, lateValue: 0.8,
			},
			{
				queue: "warranty", priority: 2, rate: 0.55, width: 12, maxWidth: 72, work: 9500 * time.Millisecond,
				maxWork: 11 * time.Second, needs: resources.Amounts{CPU: 5_600, Memory: 8_200},
				accelerators: []int64{1}, checkpoints: 0.45, estimateError: 0.2,
				failing: 0.005, maxAttempts: 2, stretch: 3, target: 3 * time.Second, value: 1, lateValue: 0.3,
			},
		},
	}
}

// accounts of every site; the guarantees leave a part of the cluster to nobody.
var accounts = []policy.Account{
	{Name: "large", Guaranteed: 96}, {Name: "middle", Guaranteed: 64}, {Name: "small", Guaranteed: 32}, {Name: "none"},
}

func (s *site) policy(out ...domain.Name) *policy.Policy {
	p := &policy.Policy{Version: 1, Accounts: accounts, Out: out}
	for _, k := range s.kinds {
		p.Queues = append(p.Queues, policy.Queue{
			Name: k.queue, Service: service, Priority: k.priority, MaxAttempts: k.maxAttempts, Stretch: k.stretch,
			Target: k.target,
		})
	}
	return p
}

func (s *site) settings(v variant) planner.Settings {
	return planner.Settings{
		LeaseLimit: 10 * time.Second, StopTime: s.stopTime, RemoteFactor: remoteFactor,
		EarlyStart: 250 * time.Millisecond, RetainFinal: time.Hour, Order: v.order, Fit: v.fit,
	}
}

func (s *site) roster() []roster.Worker {
	var list []roster.Worker
	for i := range s.workers {
		home := s.failureDomains[i*len(s.failureDomains)/s.workers]
		rack := fmt.Sprintf("%s-rack-%02d", home, i/s.rackSize)
		list = append(list, roster.Worker{
			Name: endpoint.Name(fmt.Sprintf("worker-%02d", i)), Service: service, FailureDomain: domain.Name(home),
			Incarnation: 1, Capacity: s.capacity, Rack: endpoint.Rack(rack), Labels: []string{"a", rack},
		})
	}
	return list
}

// accountOf deals jobs to accounts in turn, the large ones more often.
func accountOf(i int) account.Name {
	return []account.Name{"large", "large", "large", "middle", "middle", "small", "none"}[i%7]
}
