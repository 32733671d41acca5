package upkeep

import (
	"slices"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/machine"
)

const (
	// drainShare is the share of a round's time that a worker may use to finish its running tasks. A round is the
	// upkeep of MaxDown machines; see drainTimeout.
	drainShare = 0.6
	// maxDrain limits the time that a worker gets to finish its running tasks.
	maxDrain = 10 * time.Second
	// orderRetry is the delay before an upkeep that was refused or whose outcome is unknown is ordered again.
	orderRetry = time.Second
	// assumeReturnedAfter is the time since the start of the upkeep after which a machine that is listed as up counts as
	// back in service, even if it was never listed as out of service.
	assumeReturnedAfter = 5 * time.Second
	// removedAfter is the number of consecutive lists without a machine after which it counts as removed for good. One
	// list may be incomplete. The lists are read every second.
	removedAfter = 5
)

// Tracker tracks the waves of a site, the operators' requests for upkeep, and decides what to do next for their
// machines.
type Tracker struct {
	waves    map[Number]*waveState
	machines map[machine.ID]machine.Machine
	// hasMachines is set once SetMachines has been called.
	hasMachines bool
}

// waveState is a wave with the state of its machines.
type waveState struct {
	Wave
	// started is the time at which this tracker first received the wave. The wave's Duration counts from this time.
	started time.Time
	hosts   map[machine.ID]*host
	// lastReport is the record that was last passed to the caller in a Report or read back from storage.
	lastReport Record
	// hasReport is set once lastReport holds a record.
	hasReport bool
}

// New returns a tracker that continues from the records that earlier leaders have stored.
func New(records []Record) *Tracker {
	t := &Tracker{waves: map[Number]*waveState{}, machines: map[machine.ID]machine.Machine{}}
	for _, r := range records {
		w := &waveState{hosts: map[machine.ID]*host{}, lastReport: r, hasReport: true}
		w.Number = r.Number
		for _, id := range r.Ordered {
			w.hosts[id] = &host{id: id, stage: ordered}
		}
		for _, id := range r.Begun {
			// The list that the next call of SetMachines passes shows whether the machine is already back.
			w.hosts[id] = &host{id: id, stage: inUpkeep}
		}
		t.waves[r.Number] = w
	}
	return t
}

// SetWaves adds or updates the waves that the operators have requested.
func (t *Tracker) SetWaves(waves []Wave, now time.Time) {
	for _, wave := range waves {
		w, known := t.waves[wave.Number]
		if !known {
			w = &waveState{hosts: map[machine.ID]*host{}}
			t.waves[wave.Number] = w
		}
		if w.started.IsZero() {
			w.started = now
		}
		w.Wave = wave
		for _, id := range wave.Machines {
			if w.hosts[id] == nil {
				w.hosts[id] = &host{id: id}
			}
		}
	}
}

// SetMachines replaces the list of all machines.
func (t *Tracker) SetMachines(list []machine.Machine) {
	t.hasMachines = true
	clear(t.machines)
	for _, m := range list {
		t.machines[m.ID] = m
	}
	for _, w := range t.waves {
		for id, h := range w.hosts {
			if _, listed := t.machines[id]; listed {
				h.missing = 0
			} else {
				h.missing++
			}
		}
	}
}

// Active reports whether the upkeep of any machine of any wave has not ended yet.
func (t *Tracker) Active() bool {
	for _, w := range t.waves {
		if w.active() {
			return true
		}
	}
	return false
}

// active reports whether the upkeep of any machine of the wave has not ended yet.
func (w *waveState) active() bool {
	for _, id := range w.Machines {
		if w.hosts[id].stage != done {
			return true
		}
	}
	return false
}

// Outcome is the result of asking the platform to begin an upkeep.
type Outcome int

// The outcomes of a Begin action.
const (
	// Begun upkeeps are in progress or were finished earlier.
	Begun Outcome = iota
	// Refused upkeeps have not begun and may be ordered again.
	Refused
	// Impossible upkeeps can never begin: the machine does not exist or does not belong to the wave.
	Impossible
	// Unknown upkeeps may have begun, but no answer of the platform shows whether they have.
	Unknown
)

// Answered updates the machine of a Begin action with the platform's answer.
func (t *Tracker) Answered(begin Begin, outcome Outcome, now time.Time) {
	w := t.waves[begin.Wave]
	if w == nil || w.hosts[begin.Machine] == nil {
		return
	}
	h := w.hosts[begin.Machine]
	switch outcome {
	case Begun:
		h.enter(inUpkeep, now)
	case Impossible:
		h.enter(done, now)
	case Refused:
		h.enter(draining, now)
		h.notBefore = now.Add(orderRetry)
	case Unknown:
	}
}

// Recorded must be called once a report has been stored. The upkeeps that it lists as ordered may then be ordered.
func (t *Tracker) Recorded(record Record) {
	w := t.waves[record.Number]
	if w == nil {
		return
	}
	for _, id := range record.Ordered {
		if h := w.hosts[id]; h != nil && h.stage == recording {
			h.enter(ordered, time.Time{})
		}
	}
}

// Decide returns the actions that are due now, but nothing until SetMachines has been called. The function occupancyOf
// returns the occupancy of a worker.
func (t *Tracker) Decide(now time.Time, occupancyOf func(endpoint.Name) Occupancy) []Action {
	if !t.hasMachines {
		return nil
	}
	var actions []Action
	for _, w := range t.sortedWaves() {
		if !w.active() {
			continue
		}
		actions = append(actions, t.decideWave(w, now, occupancyOf)...)
	}
	return actions
}

// sortedWaves returns the waves ordered by number.
func (t *Tracker) sortedWaves() []*waveState {
	list := make([]*waveState, 0, len(t.waves))
	for _, w := range t.waves {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// decideWave returns the actions for one wave. It advances the machines that have left the pending stage, then starts
// to drain more machines while fewer than MaxDown machines are in a stage from draining to inUpkeep. Pending machines
// that are in upkeep for another reason also count toward MaxDown.
func (t *Tracker) decideWave(w *waveState, now time.Time, occupancyOf func(endpoint.Name) Occupancy) []Action {
	var actions []Action
	down := 0
	for _, id := range w.Machines {
		h := w.hosts[id]
		actions = append(actions, t.advance(w, h, now, occupancyOf)...)
		if h.stage != pending && h.stage != done || h.stage == pending && t.machines[id].State == machine.InUpkeep {
			down++
		}
	}
	for _, h := range t.candidates(w, occupancyOf) {
		if down >= w.MaxDown {
			break
		}
		down++
		h.enter(draining, now)
		actions = append(actions, h.retire(t.machines[h.id].Worker)...)
	}
	return append(actions, w.report()...)
}

// candidates lists the pending machines that are up, sorted by what their workers run: machines with empty workers
// first.
func (t *Tracker) candidates(w *waveState, occupancyOf func(endpoint.Name) Occupancy) []*host {
	var list []*host
	for _, id := range w.Machines {
		if h := w.hosts[id]; h.stage == pending && t.machines[id].State == machine.Up {
			list = append(list, h)
		}
	}
	rank := func(h *host) Occupancy { return occupancyOf(t.machines[h.id].Worker) }
	sort.SliceStable(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
	return list
}

// advance moves one machine to its next stage if it is ready, and returns the actions for that.
func (t *Tracker) advance(w *waveState, h *host, now time.Time, occupancyOf func(endpoint.Name) Occupancy) []Action {
	m, listed := t.machines[h.id]
	if !listed && h.stage != done {
		if h.missing >= removedAfter {
			return h.unretire(done, now)
		}
		return nil
	}
	switch h.stage {
	case draining:
		return h.checkDrained(m, now, occupancyOf(h.worker), w.drainTimeout(now))
	case ordered:
		return h.order(w.Number, m, now)
	case inUpkeep:
		return h.checkReturned(m, now)
	default:
		return nil
	}
}

// drainTimeout returns how long a worker may take to finish its running tasks. A round is the upkeep of MaxDown
// machines. The remaining time of the wave is split evenly among the remaining rounds. A worker gets the fraction
// drainShare of the time of one round, but at most maxDrain.
func (w *waveState) drainTimeout(now time.Time) time.Duration {
	waiting := 0
	for _, h := range w.hosts {
		if h.stage == pending || h.stage == draining {
			waiting++
		}
	}
	rounds := (waiting + w.MaxDown - 1) / max(w.MaxDown, 1)
	remaining := w.started.Add(w.Duration).Sub(now)
	return min(max(time.Duration(drainShare*float64(remaining)/float64(max(rounds, 1))), 0), maxDrain)
}

// report returns a report if the record of the last report is outdated. A wave is complete once every machine has begun
// its upkeep, except those that were removed or can never have it.
func (w *waveState) report() []Action {
	record := Record{Number: w.Number, Complete: true}
	for _, id := range w.Machines {
		switch w.hosts[id].stage {
		case inUpkeep, done:
			record.Begun = append(record.Begun, id)
		case recording, ordered:
			record.Ordered = append(record.Ordered, id)
			record.Complete = false
		default:
			record.Complete = false
		}
	}
	slices.Sort(record.Ordered)
	slices.Sort(record.Begun)
	if w.hasReport && w.lastReport.equal(&record) {
		return nil
	}
	w.lastReport, w.hasReport = record, true
	return []Action{Report{Record: record}}
}

// equal reports whether two records agree in everything but the number of the wave.
func (r *Record) equal(other *Record) bool {
	return r.Complete == other.Complete && slices.Equal(r.Ordered, other.Ordered) && slices.Equal(r.Begun, other.Begun)
}
