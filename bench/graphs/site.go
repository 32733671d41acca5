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

// jobKind describes a kind of job that callers send and the distributions from which its jobs are drawn.
type jobKind struct {
	queue    string
	priority int
	// rate is the mean number of jobs that arrive per second.
	rate float64
	// width is the mean number of tasks of a job, and maxWidth is the largest number of tasks of a job.
	// work is the mean duration of a task, and maxWork is the longest duration of a task.
	width    float64
	maxWidth int
	work     time.Duration
	maxWork  time.Duration
	needs    resources.Amounts
	// accelerators lists the possible numbers of accelerators per task. Each job draws one of these numbers at random.
	accelerators []int64
	// gang is the share of the jobs that are gangs.
	// sameRack is the share of the gangs that ask for one rack.
	// checkpoints is the share of the jobs that write checkpoints.
	gang, sameRack, checkpoints float64
	// estimateError is the standard deviation of the logarithm of the ratio of estimated to true duration.
	estimateError float64
	// failureRate is the probability that a run of a single task or of a whole gang fails although its workers are
	// healthy.
	failureRate float64
	maxAttempts int
	// The objective for the time from the acceptance to the end of a job is stretch times the work of a task, plus
	// target.
	stretch float64
	target  time.Duration
	// value is the value that a job of weight 1 earns if it completes within its objective.
	// lateValue is the value that a job of weight 1 earns if it completes later, but within lateFactor times the
	// objective.
	value, lateValue float64
}

// site is a cluster with the kinds of jobs that run on it.
type site struct {
	name           string
	failureDomains []string
	workers        int
	rackSize       int
	capacity       resources.Amounts
	// slowdowns holds the factors by which the duration of tasks is multiplied. The workers get these factors in turn.
	slowdowns []float64
	kinds     []jobKind
	stopTime  time.Duration
}

// kingston returns the model of the site kingston. The benchmark simulates the two existing sites, kingston and
// association.
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
				failureRate: 0.05, maxAttempts: 2, stretch: 3, target: time.Second, value: 3, lateValue: 0.9,
			},
			{
				queue: "spectral", rate: 2, width: 3.4, maxWidth: 21, work: 2500 * time.Millisecond,
				maxWork: 8 * time.Second, needs: resources.Amounts{CPU: 15_000, Memory: 61_000},
				accelerators: []int64{1, 2, 4, 8, 8}, gang: 1, sameRack: 0.8, estimateError: 0.9,
				failureRate: 0.05, maxAttempts: 4, stretch: 1.5, target: 250 * time.Millisecond, value: 4, lateValue: 0.8,
			},
			{
				queue: "recalculation", priority: 2, rate: 0.49, width: 16, maxWidth: 94, work: 7600 * time.Millisecond,
				maxWork: 11 * time.Second, needs: resources.Amounts{CPU: 11_000, Memory: 59_000},
				accelerators: []int64{1}, checkpoints: 0.45, estimateError: 0.5,
				failureRate: 0.05, maxAttempts: 3, stretch: 3, target: 3 * time.Second, value: 1, lateValue: 0.3,
			},
		},
	}
}

// association returns the model of the site association, the other existing site besides kingston.
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
				failureRate: 0.005, maxAttempts: 4, stretch: 3, target: time.Second, value: 3, lateValue: 0.9,
			},
			{
				queue: "lookup", rate: 1.57, width: 3, maxWidth: 18, work: 2500 * time.Millisecond,
				maxWork: 8 * time.Second, needs: resources.Amounts{CPU: 7_500, Memory: 11_000},
				accelerators: []int64{1, 2, 4, 8, 8}, gang: 1, sameRack: 0.8, estimateError: 0.9,
				failureRate: 0.05, maxAttempts: 2, stretch: 1.5, target: 250 * time.Millisecond, value: 4, lateValue: 0.8,
			},
			{
				queue: "warranty", priority: 2, rate: 0.55, width: 12, maxWidth: 72, work: 9500 * time.Millisecond,
				maxWork: 11 * time.Second, needs: resources.Amounts{CPU: 5_600, Memory: 8_200},
				accelerators: []int64{1}, checkpoints: 0.45, estimateError: 0.2,
				failureRate: 0.005, maxAttempts: 2, stretch: 3, target: 3 * time.Second, value: 1, lateValue: 0.3,
			},
		},
	}
}

// accounts holds the client accounts of every site. Their guarantees add up to half of the 384 accelerators of a site.
var accounts = []policy.Account{
	{Name: "large", Guaranteed: 96}, {Name: "middle", Guaranteed: 64}, {Name: "small", Guaranteed: 32}, {Name: "none"},
}

// policy returns the configuration of the site: its client accounts and one queue for each kind of job. The failure
// domains in out are marked as taken out of service by the operators.
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
		LearnSpeeds: v.learnSpeeds,
	}
}

func (s *site) roster() []roster.Worker {
	var list []roster.Worker
	for i := range s.workers {
		failureDomain := s.failureDomains[i*len(s.failureDomains)/s.workers]
		rack := fmt.Sprintf("%s-rack-%02d", failureDomain, i/s.rackSize)
		list = append(list, roster.Worker{
			Name: endpoint.Name(fmt.Sprintf("worker-%02d", i)), Service: service, FailureDomain: domain.Name(failureDomain),
			Incarnation: 1, Capacity: s.capacity, Rack: endpoint.Rack(rack), Labels: []string{"a", rack},
		})
	}
	return list
}

// accountOf returns the client account of the i-th job. Accounts with larger guarantees get more jobs.
func accountOf(i int) account.Name {
	return []account.Name{"large", "large", "large", "middle", "middle", "small", "none"}[i%7]
}
