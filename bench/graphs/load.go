package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"auburnstack/core/graph"
)

const (
	// loadDuration is the time during which callers submit jobs.
	// settleTime is the time for which the simulation continues after the end of loadDuration.
	loadDuration = 60 * time.Second
	settleTime   = 60 * time.Second
	// remoteFactor is the factor by which a gang that asks for one rack runs longer on several racks.
	remoteFactor = 3
	// durationSpread is the relative standard deviation of the durations of the jobs of one kind.
	durationSpread = 0.3
	// widthSpread is the standard deviation of the logarithm of the number of tasks of a job.
	widthSpread = 0.8
)

// pattern describes how a load differs from a steady load on healthy workers.
type pattern struct {
	name string
	// rate returns the factor that multiplies the arrival rate of a kind of job. The parameter at is the time since the
	// start of the simulation.
	rate func(k *jobKind, at time.Duration) float64
	// widthFactor multiplies the mean number of tasks of gangs; 0 leaves it unchanged.
	widthFactor float64
	// canceled is the share of the jobs that their callers cancel, not counting urgent jobs, which are never canceled.
	// poisoned is the share of the jobs whose runs always fail, not counting urgent jobs, which are never poisoned.
	canceled, poisoned float64
	// The policy takes the first failure domain out at outFrom and brings it back in at outTo. All runs in the first
	// failure domain are stopped at outFrom.
	outFrom, outTo time.Duration
	// slow is the share of the workers on which tasks run slower from slowFrom to slowTo.
	// failing is the share of the workers on which tasks fail.
	// stalled is the share of the workers on which tasks make no progress.
	slow, failing, stalled float64
	slowFrom, slowTo       time.Duration
	// speeds holds the relative speeds of the workers, in random order and in equal numbers, in place of those of the
	// site.
	speeds []float64
	// taskSpread is the standard deviation of the logarithm of the durations of independent tasks of one step, on workers
	// of equal speed. Each of these tasks, and each gang, takes heavyFactor times as long with the probability heavy.
	taskSpread, heavy float64
	// estimateError replaces the estimate error of the kinds of jobs if it is greater than 0.
	estimateError float64
}

// heavyFactor is the factor by which the longest tasks exceed the others.
const heavyFactor = 7

func steady(*jobKind, time.Duration) float64 { return 1 }

// rateDuring returns a rate function that multiplies the arrival rate of the kinds with the given priority by the given
// factor between the times from and to.
func rateDuring(priority int, factor float64, from, to time.Duration) func(*jobKind, time.Duration) float64 {
	return func(k *jobKind, at time.Duration) float64 {
		if k.priority == priority && at >= from && at < to {
			return factor
		}
		return 1
	}
}

func halfRate(*jobKind, time.Duration) float64 { return 0.5 }

// threeSpeeds holds the speeds that the machines of one deployment have, a third of them each.
var threeSpeeds = []float64{0.6, 1, 1.6}

func patterns() []pattern {
	const from, to = 15 * time.Second, 25 * time.Second
	return []pattern{
		{name: "steady", rate: steady},
		{name: "heavy", rate: func(*jobKind, time.Duration) float64 { return 1.6 }},
		{name: "urgent-burst", rate: rateDuring(0, 4, from, to)},
		{name: "wide-gangs", rate: rateDuring(1, 1.5, 0, loadDuration), widthFactor: 2},
		{name: "narrow-batches", rate: rateDuring(2, 4, from, to)},
		{name: "domain-leaves", rate: steady, outFrom: from, outTo: to + 5*time.Second},
		{name: "cancel-waves", rate: steady, canceled: 0.4},
		{name: "poison", rate: steady, poisoned: 0.2},
		{name: "failing-workers", rate: steady, failing: 0.1},
		{name: "stalled-workers", rate: steady, stalled: 0.1},
		{name: "slow-workers", rate: steady, slow: 0.2, slowFrom: from, slowTo: to},
		{name: "three-speeds", rate: steady, speeds: threeSpeeds},
		{name: "three-speeds-half", rate: halfRate, speeds: threeSpeeds},
		{
			name: "three-speeds-tails", rate: steady, speeds: threeSpeeds, taskSpread: 0.21, heavy: 0.03,
			estimateError: 1.2,
		},
		{name: "alike-tails", rate: steady, speeds: []float64{1}, taskSpread: 0.21, heavy: 0.03, estimateError: 1.2},
		{
			name: "alike-slow-6s", rate: steady, speeds: []float64{1}, slow: 0.2, slowFrom: from,
			slowTo: from + 6*time.Second,
		},
		{
			name: "three-speeds-slow-6s", rate: steady, speeds: threeSpeeds, slow: 0.2, slowFrom: from,
			slowTo: from + 6*time.Second,
		},
		{name: "slow-all-day", rate: steady, slow: 0.2, slowFrom: time.Second, slowTo: loadDuration + settleTime},
	}
}

// arrival is a job with the facts that are available to the simulation but not to the planner.
type arrival struct {
	// at is the time of submission since the start of the simulation.
	at   time.Duration
	job  *graph.Job
	kind *jobKind
	// work is the true duration of each task on a healthy worker with slowdown 1.
	work time.Duration
	// factors holds, for each task, the ratio of its true duration to work; empty if all are 1.
	factors []float64
	// cancelAfter is the time from submission to cancellation, 0 for jobs that are not canceled.
	cancelAfter time.Duration
	poisoned    bool
	// weight multiplies the value that a job of this kind earns. It is 0.3 plus 0.7 times the ratio of the job's work
	// to the mean work of the kind; a ratio above 4 counts as 4.
	weight float64
}

// arrivals draws the jobs of one sequence, ordered by submission. If the parameter exact is set, every estimate of the
// duration of tasks is the true duration.
func (s *site) arrivals(p *pattern, seed uint64, exact bool) []arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var list []arrival
	for i := range s.kinds {
		k := &s.kinds[i]
		for at := nextArrival(random, k, p, 0); at < loadDuration; at = nextArrival(random, k, p, at) {
			list = append(list, s.drawArrival(random, k, p, at, exact))
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].job.ID = graph.ID(fmt.Sprintf("job-%05d", i))
		list[i].job.ClientAccount = accountOf(i)
		list[i].job.Accepted = epoch.Add(list[i].at)
	}
	return list
}

func nextArrival(random *rand.Rand, k *jobKind, p *pattern, at time.Duration) time.Duration {
	rate := k.rate * p.rate(k, at)
	return at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
}

func (s *site) drawArrival(random *rand.Rand, k *jobKind, p *pattern, at time.Duration, exact bool) arrival {
	width := k.width
	if p.widthFactor > 0 && k.gang > 0 {
		width *= p.widthFactor
	}
	spread := math.Exp(widthSpread*random.NormFloat64() - widthSpread*widthSpread/2)
	tasks := clamp(int(math.Round(width*spread)), 1, k.maxWidth)
	work := time.Duration(float64(k.work) * max(0.2, 1+durationSpread*random.NormFloat64()))
	work = min(work, k.maxWork)
	estimateError := k.estimateError
	if p.estimateError > 0 {
		estimateError = p.estimateError
	}
	estimate := time.Duration(float64(work) * math.Exp(estimateError*random.NormFloat64()))
	if exact {
		estimate = work
	}
	step := graph.Step{
		Tasks: tasks, Needs: k.needs, Estimate: estimate, Gang: random.Float64() < k.gang,
		Checkpoints: random.Float64() < k.checkpoints, AbsenceLimit: -1,
	}
	step.SameRack = step.Gang && random.Float64() < k.sameRack
	step.Needs.Accelerators = k.accelerators[random.IntN(len(k.accelerators))]
	a := arrival{at: at, kind: k, work: work, job: &graph.Job{Queue: k.queue, Steps: []graph.Step{step}}}
	a.drawFactors(random, p)
	if k.priority > 0 && random.Float64() < p.canceled {
		a.cancelAfter = time.Duration(random.Int64N(int64(3 * k.work)))
	}
	a.poisoned = k.priority > 0 && random.Float64() < p.poisoned
	mean := k.width * k.work.Seconds()
	a.weight = 0.3 + 0.7*min(float64(tasks)*work.Seconds()/mean, 4)
	return a
}

// drawFactors draws the heavy tail and the differences between independent tasks. A gang's tasks have equal work.
func (a *arrival) drawFactors(random *rand.Rand, p *pattern) {
	if p.heavy == 0 {
		return
	}
	if a.job.Steps[0].Gang {
		if random.Float64() < p.heavy {
			a.work *= heavyFactor
		}
		return
	}
	for range a.job.Steps[0].Tasks {
		factor := math.Exp(p.taskSpread * random.NormFloat64())
		if random.Float64() < p.heavy {
			factor *= heavyFactor
		}
		a.factors = append(a.factors, factor)
	}
}

// workOf returns the true duration of a task on a worker with slowdown 1.
func (a *arrival) workOf(task graph.TaskID) time.Duration {
	if len(a.factors) == 0 {
		return a.work
	}
	return time.Duration(float64(a.work) * a.factors[task.Index])
}

func clamp(n, low, high int) int {
	return max(low, min(n, high))
}
