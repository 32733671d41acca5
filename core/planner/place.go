package planner

import (
	"slices"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

const (
	// remoteWait is the time for which a unit waits for a place in its preferred rack before it may be spread over
	// several racks or run outside the rack of its data, where its tasks take longer.
	remoteWait = 1500 * time.Millisecond
	// avoidWait is the time for which a unit waits for workers other than those on which it has failed.
	avoidWait = 2500 * time.Millisecond
	// rejectionPause is the time for which a worker gets no new tasks after it has rejected a start.
	rejectionPause = time.Second
)

// candidate is a worker that can take tasks of a unit.
type candidate struct {
	worker *worker
	// count is the number of tasks that the worker can take.
	count int
	// available is the number of free accelerators on the worker.
	available int64
	// remaining is the capacity that would stay free on the worker if it took the number of tasks in count. The fit
	// policies compare the remaining capacities of candidates.
	remaining resources.Amounts
}

// freeFunc returns the capacity that a worker can give to a unit.
type freeFunc func(*worker) resources.Amounts

// search is the search for workers for a number of tasks of a unit's step.
type search struct {
	round *round
	unit  *unit
	tasks int
	needs resources.Amounts
	// remote is set if the unit may be spread over several racks or run outside the rack of its data.
	remote bool
	// avoided holds the workers on which the unit has failed and which it avoids for now.
	avoided []*worker
	// ignoreOwnLimits is set to find out whether the unit could be placed without its spread limit and its avoided
	// workers.
	ignoreOwnLimits bool
	// missing holds the amounts by which the unit exceeds what its account's limit leaves. Work of the account that holds
	// these amounts must be stopped.
	missing resources.Amounts
	// exceptSlow is set if workers that are known to be too slow for urgent units are not eligible.
	exceptSlow bool
}

func newSearch(r *round, u *unit, tasks int) search {
	s := search{round: r, unit: u, tasks: tasks, needs: u.spec().Reserved(), remote: u.mayBeRemote(r.now)}
	if r.now.Sub(u.waitingSince) < avoidWait {
		s.avoided = u.avoidedWorkers
	}
	return s
}

// needsOneRack reports whether the unit must be placed in a single rack.
func (s search) needsOneRack() bool {
	return !s.remote && (s.unit.spec().SameRack || s.unit.spec().DataRack != "")
}

// count returns the number of tasks that fit into the available capacity of a worker.
func (s search) count(w *worker, available resources.Amounts) int {
	count := available.Count(s.needs, s.tasks)
	limit := s.unit.spec().SpreadLimit
	if count > 0 && limit > 0 && !s.ignoreOwnLimits {
		count = max(min(count, limit-w.countSameStep(s.unit)), 0)
	}
	return count
}

func (s search) candidate(w *worker, available resources.Amounts, count int) candidate {
	return candidate{
		worker: w, count: count, available: available.Accelerators, remaining: available.Sub(s.needs.Times(count)),
	}
}

// eligible reports whether tasks may run on an accepting worker if it has enough free capacity.
func (p *Planner) eligible(s search, w *worker) bool {
	if !s.unit.suits(w) || s.exceptSlow && p.isSlowForUrgent(w, s.round.now) {
		return false
	}
	if s.unit.advised() && !p.hasPermit(s.unit, w, s.round.now) {
		return false
	}
	if !p.startsApart(s, w) || s.round.now.Before(w.rejectedUntil) {
		return false
	}
	return s.ignoreOwnLimits || !slices.Contains(s.avoided, w)
}

// place returns one worker for each task of a search, using the capacity that the function free returns, or nil if
// there is not enough.
func (p *Planner) place(s search, free freeFunc) []*worker {
	return p.choose(s, p.candidates(s, free))
}

// choose returns one of the candidates for each task of a search, or nil. Unless the search is remote, choose returns
// nil rather than spread a unit that asks for a single rack or place a unit outside the rack of its data. It gives slow
// workers to a unit of priority 0 only if the others do not suffice.
func (p *Planner) choose(s search, candidates []candidate) []*worker {
	if p.placedBySpeed(s.unit) {
		return p.chooseBySpeed(s, candidates)
	}
	if s.unit.job.queue.Priority == 0 {
		fast, _ := p.bySpeed(candidates)
		if places := p.placeAmong(s, fast); places != nil {
			return places
		}
	}
	return p.placeAmong(s, candidates)
}

// bySpeed separates the candidates that are known to be slow from the others.
func (p *Planner) bySpeed(candidates []candidate) (fast, slow []candidate) {
	for _, c := range candidates {
		if p.isSlow(c.worker) {
			slow = append(slow, c)
		} else {
			fast = append(fast, c)
		}
	}
	return fast, slow
}

// placeAmong returns one of the given candidates for each task of a search, or nil. It tries the rack of the unit's
// data first.
func (p *Planner) placeAmong(s search, candidates []candidate) []*worker {
	step := s.unit.spec()
	if !p.enough(candidates, s.tasks) {
		return nil
	}
	if rack := step.DataRack; rack != "" {
		if places := p.pick(inRack(candidates, endpoint.Rack(rack)), s.tasks); places != nil {
			return places
		}
	}
	if step.SameRack && step.DataRack == "" {
		if places := p.pickRack(candidates, s.tasks); places != nil {
			return places
		}
	}
	if s.needsOneRack() {
		return nil
	}
	return p.pick(candidates, s.tasks)
}

// mayBeRemote reports whether a unit has waited long enough to be spread over several racks or to run away from its
// data.
func (u *unit) mayBeRemote(now time.Time) bool {
	return now.Sub(u.waitingSince) >= remoteWait
}

// enough reports whether the candidates can take the given number of tasks together.
func (p *Planner) enough(candidates []candidate, size int) bool {
	total := 0
	for i := range candidates {
		total += candidates[i].count
	}
	return total >= size
}

// candidates returns the workers that can take at least one task of a search. The field count of each candidate is at
// most the number of tasks.
func (p *Planner) candidates(s search, free freeFunc) []candidate {
	open := p.viewOf(s.round, s.unit.job.queue.Service).open(s.needs)
	s.round.examined += len(open)
	var list []candidate
	for _, w := range open {
		available := free(w)
		if !s.needs.Fits(available) || !p.eligible(s, w) {
			continue
		}
		if count := s.count(w, available); count > 0 {
			list = append(list, s.candidate(w, available, count))
		}
	}
	return list
}

// countSameStep returns the number of tasks on the worker that belong to the unit's step and occurrence.
func (w *worker) countSameStep(u *unit) int {
	count := 0
	for m := range w.members {
		if m.unit.job == u.job && m.unit.step == u.step && m.unit.occurrence == u.occurrence {
			count++
		}
	}
	return count
}

func inRack(candidates []candidate, rack endpoint.Rack) []candidate {
	var list []candidate
	for _, c := range candidates {
		if c.worker.Rack == rack {
			list = append(list, c)
		}
	}
	return list
}

// pickRack returns workers in a single rack for the given number of tasks, or nil if no rack can take all of them.
// Among the racks that can, it chooses the one that can take the fewest tasks.
func (p *Planner) pickRack(candidates []candidate, size int) []*worker {
	totals := map[endpoint.Rack]int{}
	var racks []endpoint.Rack
	for _, c := range candidates {
		if totals[c.worker.Rack] == 0 {
			racks = append(racks, c.worker.Rack)
		}
		totals[c.worker.Rack] += c.count
	}
	best := endpoint.Rack("")
	found := false
	for _, rack := range racks {
		if totals[rack] >= size && (!found || totals[rack] < totals[best]) {
			best, found = rack, true
		}
	}
	if !found {
		return nil
	}
	return p.pick(inRack(candidates, best), size)
}

// pick returns workers for the given number of tasks in the order of the fit policy, or nil if they cannot take all of
// them. The default policy fills racks with few free accelerators first, so that entire racks stay free for gangs.
func (p *Planner) pick(candidates []candidate, size int) []*worker {
	places := p.fill(candidates, size)
	if len(places) < size {
		return nil
	}
	return places
}

// fill returns workers for as many of the given number of tasks as the candidates can take.
func (p *Planner) fill(candidates []candidate, size int) []*worker {
	sortForFit(candidates, p.settings.Fit)
	places := make([]*worker, 0, size)
	for _, c := range candidates {
		for range min(c.count, size-len(places)) {
			places = append(places, c.worker)
		}
		if len(places) == size {
			break
		}
	}
	return places
}

// sortPacked sorts candidates so that racks with the least free accelerators come first.
func sortPacked(candidates []candidate) {
	free := map[endpoint.Rack]int64{}
	for i := range candidates {
		free[candidates[i].worker.Rack] += candidates[i].available
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := &candidates[i], &candidates[j]
		if x, y := free[a.worker.Rack], free[b.worker.Rack]; x != y {
			return x < y
		}
		return tighterFit(a, b)
	})
}

// tighterFit reports whether less capacity would remain on worker a than on worker b.
func tighterFit(a, b *candidate) bool {
	if a.remaining.Accelerators != b.remaining.Accelerators {
		return a.remaining.Accelerators < b.remaining.Accelerators
	}
	return a.remaining.CPU < b.remaining.CPU
}
