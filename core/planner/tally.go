package planner

import "auburnstack/core/resources"

// tally counts the tasks of a unit that fit on a set of workers while victims are chosen whose capacity would be freed.
// It updates the count for the workers of one victim at a time, so that trying many victims costs no search each.
type tally struct {
	search search
	// rooms holds the capacity that each eligible worker of the set can give to the unit.
	rooms map[*worker]*room
	order []*worker
	// total is the number of tasks that fit on all workers together.
	total int
	// missing is search.missing without what the chosen victims hold. Amounts may be negative.
	missing resources.Amounts
}

// room is the capacity that a worker can give to a unit.
type room struct {
	available resources.Amounts
	count     int
}

func (p *Planner) newTally(s search, workers []*worker) *tally {
	t := &tally{search: s, missing: s.missing, rooms: make(map[*worker]*room, len(workers))}
	for _, w := range workers {
		if !p.eligible(s, w) {
			continue
		}
		available := w.free()
		entry := &room{available: available, count: s.count(w, available)}
		t.rooms[w] = entry
		t.order = append(t.order, w)
		t.total += entry.count
	}
	s.round.examined += len(workers)
	return t
}

// affects reports whether stopping a victim frees capacity on one of the workers.
func (t *tally) affects(v victim) bool {
	t.search.round.examined++
	for _, m := range v.unit.members {
		if m.state != ended && !m.stopping && t.rooms[m.worker] != nil {
			return true
		}
	}
	return false
}

// free adds the capacity of a victim.
func (t *tally) free(v victim) {
	t.change(v, 1)
}

// restore takes the capacity of a victim away again.
func (t *tally) restore(v victim) {
	t.change(v, -1)
}

func (t *tally) change(v victim, sign int) {
	amounts := v.unit.spec().Reserved().Times(sign)
	for _, m := range v.unit.members {
		entry := t.rooms[m.worker]
		if m.state == ended || m.stopping || entry == nil {
			continue
		}
		entry.available = entry.available.Add(amounts)
		t.total -= entry.count
		entry.count = t.search.count(m.worker, entry.available)
		t.total += entry.count
	}
	if h := t.search.unit.job.holding; h.limited && v.unit.job.holding == h {
		t.missing = t.missing.Sub(v.unit.reclaimable().Times(sign))
	}
	t.search.round.examined += len(v.unit.members)
}

// satisfied reports whether the tasks of the search fit on the workers and the limit of their account allows them.
func (t *tally) satisfied() bool {
	return t.total >= t.search.tasks && t.withinLimit()
}

// prune removes the victims that are not needed from a list of chosen ones, the last ones first.
func (t *tally) prune(chosen []victim) []victim {
	for i := len(chosen) - 1; i >= 0; i-- {
		t.restore(chosen[i])
		if t.satisfied() {
			chosen = append(chosen[:i], chosen[i+1:]...)
			continue
		}
		t.free(chosen[i])
	}
	return chosen
}

// candidates returns the workers on which at least one task fits.
func (t *tally) candidates() []candidate {
	var list []candidate
	for _, w := range t.order {
		if entry := t.rooms[w]; entry.count > 0 {
			list = append(list, t.search.candidate(w, entry.available, entry.count))
		}
	}
	return list
}
