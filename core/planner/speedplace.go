package planner

import (
	"math"
	"slices"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/speed"
)

const (
	// urgentSpeed is the least relative speed of a worker that is fast enough for a unit of priority 0. With an objective
	// of 1.5 times the work, one at 0.6 makes a unit late even if it starts at once, and one at 0.77 does not. With 0.85,
	// an overloaded site (association, heavy) where a third of the workers has 0.77 of the speed of the others earned
	// 0.725 of its worth instead of 0.752, because the search for faster workers split up whole racks.
	urgentSpeed = 0.75
	// leastSpeed is the least speed that is asked for. No worker is slower for long.
	leastSpeed = 0.3
	// startOverhead is the time from the placement of a unit to the beginning of its work.
	startOverhead = 200 * time.Millisecond
	// sufficientChance is the probability from which on a worker counts as fast enough. slowChance is the probability of
	// reaching urgentSpeed below which a worker counts as slow: one without observations has 0.79.
	sufficientChance = 0.8
	slowChance       = 0.4
	// fastSpeed is the speed from which on a worker counts as faster than a normal one.
	fastSpeed = 1.25
	// unknownDeviation is the standard deviation of the log speed from which on a speed counts as unknown.
	unknownDeviation = 0.25
	// chanceSteps is the number of steps in which chances are compared. Smaller differences don't decide.
	chanceSteps = 5
)

// speedLevel orders workers by speed. Work gets the workers of the lowest level that is fast enough.
type speedLevel int

const (
	slowLevel speedLevel = iota
	unknownLevel
	normalLevel
	fastLevel
)

// speedView is the estimate of a worker's speed at one time.
type speedView struct {
	at       time.Time
	estimate speed.Estimate
	level    speedLevel
	// reaches is the probability that the worker has at least urgentSpeed.
	reaches float64
}

// speedOf returns the estimate of a worker's speed. It is computed once for each call of Plan.
func (p *Planner) speedOf(w *worker, now time.Time) *speedView {
	view := &w.speed
	if view.at.Equal(now) {
		return view
	}
	view.at = now
	view.estimate = p.speeds.Estimate(w.machine, now)
	view.reaches = view.estimate.Reaches(urgentSpeed)
	switch {
	case view.reaches < slowChance:
		view.level = slowLevel
	case view.estimate.Deviation > unknownDeviation:
		view.level = unknownLevel
	case view.estimate.Mean > math.Log(fastSpeed):
		view.level = fastLevel
	default:
		view.level = normalLevel
	}
	return view
}

// chance returns the probability that the worker has at least the given speed.
func (v *speedView) chance(needed float64) float64 {
	if needed == urgentSpeed {
		return v.reaches
	}
	return v.estimate.Reaches(needed)
}

// placedBySpeed reports whether the workers of a unit are chosen by their learned speeds. Long-running tasks have no
// duration, and filler tasks depend on the processor time that other tasks leave.
func (p *Planner) placedBySpeed(u *unit) bool {
	return p.speeds != nil && !u.spec().LongRunning && !u.spec().Fills
}

// neededSpeed returns the relative speed that a unit needs to end within its objective if it starts now, or within
// lateFactor times the objective if the objective can't be met any more.
func (p *Planner) neededSpeed(u *unit, now time.Time) float64 {
	least := leastSpeed
	if u.job.queue.Priority == 0 {
		least = urgentSpeed
	}
	work := p.estimator.expect(u.job.queue.key, u.spec().Estimate).Seconds()
	objective := p.objective(u.job)
	rank := p.rank(u, now)
	begin := now.Add(startOverhead)
	left := rank.deadline.Sub(begin).Seconds()
	if left < work/maxSpeed {
		left = rank.deadline.Add((lateFactor - 1) * objective).Sub(begin).Seconds()
	}
	if left <= 0 || left < work/maxSpeed {
		return least
	}
	return max(least, work/left)
}

// maxSpeed is the greatest relative speed that is expected of any worker.
const maxSpeed = 1.6

// rankedCandidate is a candidate with its order of preference by speed.
type rankedCandidate struct {
	candidate
	chance float64
	level  speedLevel
}

// preference orders candidates: first those that are fast enough, the slowest of them first, then the others, the more
// probable ones first.
func (c *rankedCandidate) preference() int {
	if c.chance >= sufficientChance {
		return int(c.level)
	}
	return int(fastLevel) + 1 + chanceSteps - int(c.chance*chanceSteps)
}

// rankBySpeed returns the candidates in the order of preference by speed and then in the order of the fit policy.
func (p *Planner) rankBySpeed(candidates []candidate, needed float64, now time.Time) []rankedCandidate {
	sortForFit(candidates, p.settings.Fit)
	ranked := make([]rankedCandidate, len(candidates))
	for i, c := range candidates {
		view := p.speedOf(c.worker, now)
		ranked[i] = rankedCandidate{candidate: c, chance: view.chance(needed), level: view.level}
	}
	sort.SliceStable(ranked, func(i, j int) bool { return ranked[i].preference() < ranked[j].preference() })
	return ranked
}

// speedFit is a choice of workers for the tasks of a unit.
type speedFit struct {
	places []*worker
	// chance is the probability that all chosen workers are fast enough.
	chance float64
	// levels sums the levels of the workers of all tasks. room is the number of tasks that all candidates can take.
	levels, room int
}

// take chooses the first candidates for the given number of tasks. It returns nil if they do not suffice.
func take(ranked []rankedCandidate, tasks int) *speedFit {
	f := &speedFit{places: make([]*worker, 0, tasks), chance: 1}
	for i := range ranked {
		c := &ranked[i]
		f.room += c.count
		n := min(c.count, tasks-len(f.places))
		if n == 0 {
			continue
		}
		f.chance *= c.chance
		f.levels += n * int(c.level)
		for range n {
			f.places = append(f.places, c.worker)
		}
	}
	if len(f.places) < tasks {
		return nil
	}
	return f
}

// better reports whether a choice is preferred to another one: first by the probability that the workers are fast
// enough, then because it leaves faster workers free, then because it takes a rack with less room.
func (f *speedFit) better(other *speedFit) bool {
	if other == nil {
		return true
	}
	if x, y := int(f.chance*chanceSteps), int(other.chance*chanceSteps); x != y {
		return x > y
	}
	if f.levels != other.levels {
		return f.levels < other.levels
	}
	return f.room < other.room
}

// fitRack returns the best choice of workers in a single rack, or nil.
func fitRack(ranked []rankedCandidate, tasks int) *speedFit {
	byRack := map[endpoint.Rack][]rankedCandidate{}
	var racks []endpoint.Rack
	for _, c := range ranked {
		if byRack[c.worker.Rack] == nil {
			racks = append(racks, c.worker.Rack)
		}
		byRack[c.worker.Rack] = append(byRack[c.worker.Rack], c)
	}
	slices.Sort(racks)
	var best *speedFit
	for _, rack := range racks {
		if f := take(byRack[rack], tasks); f != nil && f.better(best) {
			best = f
		}
	}
	return best
}

// fitBySpeed returns one of the candidates for each task of a search, or nil. It has the same constraints as
// placeAmong.
func (p *Planner) fitBySpeed(s search, candidates []candidate) *speedFit {
	if !p.enough(candidates, s.tasks) {
		return nil
	}
	step := s.unit.spec()
	ranked := p.rankBySpeed(candidates, p.neededSpeed(s.unit, s.round.now), s.round.now)
	if step.DataRack != "" {
		var near []rankedCandidate
		for _, c := range ranked {
			if c.worker.Rack == endpoint.Rack(step.DataRack) {
				near = append(near, c)
			}
		}
		if f := take(near, s.tasks); f != nil {
			return f
		}
	} else if step.SameRack {
		if f := fitRack(ranked, s.tasks); f != nil {
			return f
		}
	}
	if s.needsOneRack() {
		return nil
	}
	return take(ranked, s.tasks)
}

// chooseBySpeed returns one of the candidates for each task of a search, or nil.
func (p *Planner) chooseBySpeed(s search, candidates []candidate) []*worker {
	if f := p.fitBySpeed(s, candidates); f != nil {
		return f.places
	}
	return nil
}

// fillBySpeed returns workers for as many of the given number of independent tasks as the candidates can take.
func (p *Planner) fillBySpeed(u *unit, candidates []candidate, tasks int, now time.Time) []*worker {
	room := 0
	for i := range candidates {
		room += candidates[i].count
	}
	f := take(p.rankBySpeed(candidates, p.neededSpeed(u, now), now), min(tasks, room))
	if f == nil {
		return nil
	}
	return f.places
}

// forecast returns what the learned speeds promise for the start of a unit of priority 0, for the log.
func (p *Planner) forecast(u *unit, now time.Time) SpeedForecast {
	if u.job.queue.Priority > 0 || !p.placedBySpeed(u) {
		return SpeedForecast{}
	}
	needed := p.neededSpeed(u, now)
	f := SpeedForecast{Slowest: math.Inf(1), Chance: 1}
	counted := map[*worker]bool{}
	for _, m := range u.members {
		if counted[m.worker] {
			continue
		}
		counted[m.worker] = true
		view := p.speedOf(m.worker, now)
		f.Slowest = min(f.Slowest, math.Exp(view.estimate.Mean))
		f.Chance *= view.chance(needed)
	}
	return f
}

// isSlowForUrgent reports whether a worker is known to be too slow for urgent units. Other units may use it even in a
// rack that is kept free.
func (p *Planner) isSlowForUrgent(w *worker, now time.Time) bool {
	return p.speeds != nil && p.speedOf(w, now).level == slowLevel
}
