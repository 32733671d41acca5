package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/roster"
)

// epoch is the virtual time at which every simulation begins.
var epoch = time.Unix(1000, 0)

const (
	// tickInterval is the time between two calls of the planner's Tick, and between two samples of the occupied and
	// free accelerators.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of a worker to the planner.
	reportInterval = time.Second
	// orderTime is the delay between a decision of the planner and its effect on a worker.
	orderTime = 10 * time.Millisecond
	// slowFactor is the factor that multiplies the duration of tasks on slow workers.
	slowFactor = 6.0
	// checkpointInterval is the amount of work between two checkpoints of a task that writes checkpoints.
	// restoreTime is the time that a run needs to restore its checkpoint.
	checkpointInterval = time.Second
	restoreTime        = 250 * time.Millisecond
)

// worker is a simulated worker.
type worker struct {
	roster.Worker
	// slowdown is the factor that multiplies the duration of tasks on this worker. If the field slow is set, slowdown
	// is multiplied by slowFactor from slowFrom to slowTo.
	slowdown float64
	slow     bool
	failing  bool
	stalled  bool
	runs     map[graph.TaskID]*run
	// endedRuns holds the runs that have ended since the worker's last report.
	endedRuns []planner.EndedRun
}

// run is one run of a task on a worker.
type run struct {
	planner.Start
	// begun is set when the run begins to work. The runs of a gang begin when all members have started.
	begun bool
	// savedWork is the work in the checkpoint from which the run began.
	// doneWork is the work that the run has done since its beginning, up to updatedAt. During the restore of a
	// checkpoint, updatedAt is the end of the restore.
	savedWork, doneWork time.Duration
	updatedAt           time.Time
	// rate is the work that the run does per unit of time: 1 on a worker with slowdown 1.
	// fails is set if the run is to fail when it has done half of the work that remained after its checkpoint.
	rate  float64
	fails bool
	// ownRate and ownWork are what the rate and the done work were if the run did not wait for the other members of its
	// gang.
	ownRate float64
	ownWork time.Duration
	// endVersion is the number of times that the end of the run was scheduled. Only the end that was scheduled last
	// takes effect.
	endVersion int
	ended      bool
}

// simulatedJob is a submitted job with its final state.
type simulatedJob struct {
	arrival
	ended time.Time
	state graph.State
	// started is the time at which the first task started.
	started time.Time
}

// simulation runs the planner against simulated workers on a virtual clock.
type simulation struct {
	site     *site
	pattern  *pattern
	planner  *planner.Planner
	random   *rand.Rand
	now      time.Time
	queue    events
	sequence int
	workers  map[endpoint.Name]*worker
	names    []endpoint.Name
	jobs     map[graph.ID]*simulatedJob
	// savedWork holds the work in the newest checkpoint of each task.
	savedWork map[graph.TaskID]time.Duration
	// wastedWork is the work lost in runs that ended without a result or a checkpoint, in accelerator-seconds.
	// totalWork is the time for which accelerators were occupied, in accelerator-seconds.
	wastedWork, totalWork float64
	// emptyWorkersSum sums, over the samples, the share of the free accelerators that are on workers where nothing runs.
	emptyWorkersSum float64
	samples         int
}

// simulate runs one sequence with one variant and returns the simulation after its end.
func simulate(s *site, p *pattern, v variant, seed uint64) *simulation {
	m := &simulation{
		site: s, pattern: p, now: epoch, random: rand.New(rand.NewPCG(seed, 5)), workers: map[endpoint.Name]*worker{},
		jobs: map[graph.ID]*simulatedJob{}, savedWork: map[graph.TaskID]time.Duration{},
		planner: planner.New(s.settings(v), s.policy()),
	}
	m.addWorkers()
	for _, a := range s.arrivals(p, seed, v.exactEstimates) {
		m.after(a.at, func() { m.submit(a) })
	}
	if p.outTo > 0 {
		m.after(p.outFrom, func() { m.setDomainOut(true) })
		m.after(p.outTo, func() { m.setDomainOut(false) })
	}
	if p.slowTo > 0 {
		m.after(p.slowFrom, func() { m.setSlow(slowFactor) })
		m.after(p.slowTo, func() { m.setSlow(1 / slowFactor) })
	}
	m.after(0, m.onTick)
	m.run(epoch.Add(loadDuration + settleTime))
	return m
}

func (m *simulation) addWorkers() {
	slowdowns := m.slowdowns()
	for i, info := range m.site.roster() {
		w := &worker{Worker: info, slowdown: slowdowns[i], runs: map[graph.TaskID]*run{}}
		// One draw per worker, so that a worker has at most one kind of fault.
		draw := m.random.Float64()
		switch p := m.pattern; {
		case draw < p.slow:
			w.slow = true
		case draw < p.slow+p.failing:
			w.failing = true
		case draw < p.slow+p.failing+p.stalled:
			w.stalled = true
		}
		m.workers[info.Name] = w
		m.names = append(m.names, info.Name)
	}
	m.updateWorkers()
	for _, name := range m.names {
		m.report(m.workers[name])
	}
}

// slowdowns returns the slowdown of each worker.
func (m *simulation) slowdowns() []float64 {
	var list []float64
	for i := range m.site.workers {
		if speeds := m.pattern.speeds; len(speeds) > 0 {
			list = append(list, 1/speeds[i%len(speeds)])
		} else {
			list = append(list, m.site.slowdowns[i%len(m.site.slowdowns)])
		}
	}
	if len(m.pattern.speeds) > 0 {
		m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return list
}

func (m *simulation) updateWorkers() {
	var list []roster.Worker
	for _, name := range m.names {
		list = append(list, m.workers[name].Worker)
	}
	m.planner.SetWorkers(list, m.now)
}

// after schedules a callback that runs when the duration d of virtual time has passed.
func (m *simulation) after(d time.Duration, callback func()) {
	m.sequence++
	heap.Push(&m.queue, &event{at: m.now.Add(d), sequence: m.sequence, callback: callback})
}

// run processes the events in the order of their times until the time end, and lets the planner decide after each
// event.
func (m *simulation) run(end time.Time) {
	for len(m.queue) > 0 && m.queue[0].at.Before(end) {
		next := heap.Pop(&m.queue).(*event)
		m.now = next.at
		next.callback()
		m.decide()
	}
}

// onTick sends the reports of the workers if they are due, takes a sample of the accelerators, calls the planner's
// Tick, and schedules its own next call.
func (m *simulation) onTick() {
	for i, name := range m.names {
		offset := time.Duration(i) * tickInterval % reportInterval
		if (m.now.Sub(epoch)+offset)%reportInterval == 0 {
			m.report(m.workers[name])
		}
	}
	m.measure()
	m.planner.Tick()
	m.after(tickInterval, m.onTick)
}

// measure takes a sample of occupied and free accelerators.
func (m *simulation) measure() {
	var free, idleOnEmpty int64
	for _, w := range m.workers {
		used := int64(0)
		for _, r := range w.runs {
			used += m.jobs[r.Task.Job].job.Steps[0].Needs.Accelerators
		}
		idle := w.Capacity.Accelerators - used
		free += idle
		if used == 0 {
			idleOnEmpty += idle
		}
		m.totalWork += float64(used) * tickInterval.Seconds()
	}
	if free > 0 {
		m.emptyWorkersSum += float64(idleOnEmpty) / float64(free)
		m.samples++
	}
}

func (m *simulation) submit(a arrival) {
	m.jobs[a.job.ID] = &simulatedJob{arrival: a}
	m.planner.Submit(a.job, m.now)
	if a.cancelAfter > 0 {
		m.after(a.cancelAfter, func() { m.planner.Cancel(a.job.ID, m.now) })
	}
}

// setDomainOut takes the first failure domain out and stops all runs on its workers, or brings the failure domain back
// in.
func (m *simulation) setDomainOut(out bool) {
	outDomain := domain.Name(m.site.failureDomains[0])
	if !out {
		m.planner.SetPolicy(m.site.policy())
		return
	}
	m.planner.SetPolicy(m.site.policy(outDomain))
	for _, name := range m.names {
		w := m.workers[name]
		if w.FailureDomain != outDomain {
			continue
		}
		for _, r := range w.orderedRuns() {
			m.end(w, r, planner.EndStopped)
		}
	}
}

// decide calls the planner and carries out its actions until the planner returns no more actions. The simulation
// reports each change to the planner as stored at once.
func (m *simulation) decide() {
	for {
		actions := m.planner.Plan(m.now)
		changes := m.planner.TakeChanges(1000)
		for _, change := range changes {
			m.planner.Stored(change, m.now)
			if j := m.jobs[change.Progress.ID]; change.Progress.State.Final() && j.state == "" {
				j.state, j.ended = change.Progress.State, m.now
			}
		}
		for _, action := range actions {
			switch a := action.(type) {
			case planner.Start:
				m.after(orderTime, func() { m.start(a) })
			case planner.Stop:
				m.planner.StopAnswered(a, m.now)
				m.after(orderTime+m.site.stopTime, func() { m.stop(a) })
			}
		}
		if len(actions) == 0 && len(changes) == 0 {
			return
		}
	}
}
