package upkeep

import (
	"slices"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/machine"
)

const (
	// drainShare is the part of a machine's time that may pass until its worker is empty.
	drainShare = 0.6
	// maxDrain bounds the time that a worker gets to finish what it runs.
	maxDrain = 10 * time.Second
	// orderRetry is the time after which an upkeep is asked for again if its outcome is unknown.
	orderRetry = time.Second
	// assumeReturnedAfter is how long a machine must be listed as up, after its upkeep has begun, until it counts as back although
	// it was not seen away.
	assumeReturnedAfter = 5 * time.Second
)

// stage is the place of a machine in its wave.
type stage int

const (
	// pending machines have not been touched.
	pending stage = iota
	// draining machines have a worker that gets nothing new.
	draining
	// recording machines are about to begin, once that is stored.
	recording
	// ordered machines were told to begin; the answer is not known yet.
	ordered
	// inUpkeep machines are down for their upkeep.
	inUpkeep
	// done machines are back, or are gone for good.
	done
)

// Tracker follows the waves of a site.
type Tracker struct {
	waves    map[Number]*waveState
	machines map[machine.ID]machine.Machine
	// hasMachines is set once the machines have been read.
	hasMachines bool
}

// waveState is a wave with its machines.
type waveState struct {
	Wave
	started time.Time
	hosts   map[machine.ID]*host
	// lastReport is what the last report says.
	lastReport Record
	// hasReport is set once a report was made.
	hasReport bool
}

// host is a machine of a wave.
type host struct {
	id    machine.ID
	stage stage
	// worker is the one that was told to finish, or that the upkeep has ended.
	worker endpoint.Name
	// seenDown is set once the machine was seen out of service for its upkeep.
	seenDown bool
	// enteredAt is when the stage began.
	enteredAt time.Time
	// notBefore is when an upkeep that was refused may be ordered again.
	notBefore time.Time
}

// New returns a tracker that continues from the records of an earlier leader.
func New(records []Record) *Tracker {
	t := &Tracker{waves: map[Number]*waveState{}, machines: map[machine.ID]machine.Machine{}}
	for _, r := range records {
		w := &waveState{hosts: map[machine.ID]*host{}, lastReport: r, hasReport: true}
		w.Number = r.Number
		for _, id := range r.Ordered {
			w.hosts[id] = &host{id: id, stage: ordered}
		}
		for _, id := range r.Begun {
			// Whether the machine is back is seen in the next list.
			w.hosts[id] = &host{id: id, stage: inUpkeep}
		}
		t.waves[r.Number] = w
	}
	return t
}

// SetWaves takes in the waves that the operators ask for.
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

// SetMachines takes in the list of machines.
func (t *Tracker) SetMachines(list []machine.Machine) {
	t.hasMachines = true
	clear(t.machines)
	for _, m := range list {
		t.machines[m.ID] = m
	}
}

// Active tells whether a wave is under way.
func (t *Tracker) Active() bool {
	for _, w := range t.waves {
		if w.active() {
			return true
		}
	}
	return false
}

// active tells whether a machine of the wave has not come back from its upkeep.
func (w *waveState) active() bool {
	for _, id := range w.Machines {
		if w.hosts[id].stage != done {
			return true
		}
	}
	return false
}

// Outcome is how the platform answered a Begin.
type Outcome int

// The outcomes of a Begin.
const (
	// Begun upkeeps are under way, or were done before.
	Begun Outcome = iota
	// Refused upkeeps have not begun and may be asked for again.
	Refused
	// Impossible upkeeps will never begin: there is no such machine, or it is not of the wave.
	Impossible
	// Unknown upkeeps may have begun.
	Unknown
)

// Answered takes in the platform's answer.
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

// Recorded notes that a report has been stored: the upkeep that it announces may be ordered.
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

func (h *host) enter(next stage, now time.Time) {
	h.stage, h.enteredAt = next, now
}

// Decide returns what is to be done now. The function says how a worker is occupied.
func (t *Tracker) Decide(now time.Time, occupied func(endpoint.Name) Occupancy) []Action {
	if !t.hasMachines {
		return nil
	}
	var actions []Action
	for _, w := range t.sortedWaves() {
		if !w.active() {
			continue
		}
		actions = append(actions, t.decideWave(w, now, occupied)...)
	}
	return actions
}

func (t *Tracker) sortedWaves() []*waveState {
	list := make([]*waveState, 0, len(t.waves))
	for _, w := range t.waves {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

func (t *Tracker) decideWave(w *waveState, now time.Time, occupied func(endpoint.Name) Occupancy) []Action {
	var actions []Action
	down := 0
	for _, id := range w.Machines {
		h := w.hosts[id]
		actions = append(actions, t.advance(w, h, now, occupied)...)
		if h.stage != pending && h.stage != done || h.stage == pending && t.machines[id].State == machine.InUpkeep {
			down++
		}
	}
	for _, h := range t.candidates(w, occupied) {
		if down >= w.MaxDown {
			break
		}
		down++
		h.enter(draining, now)
		actions = append(actions, h.retire(t.machines[h.id].Worker)...)
	}
	return append(actions, w.report()...)
}

// candidates lists the machines that can be drained, those with the least to lose first.
func (t *Tracker) candidates(w *waveState, occupied func(endpoint.Name) Occupancy) []*host {
	var list []*host
	for _, id := range w.Machines {
		if h := w.hosts[id]; h.stage == pending && t.machines[id].State == machine.Up {
			list = append(list, h)
		}
	}
	rank := func(h *host) Occupancy { return occupied(t.machines[h.id].Worker) }
	sort.SliceStable(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
	return list
}

// advance moves one machine on.
func (t *Tracker) advance(w *waveState, h *host, now time.Time, occupied func(endpoint.Name) Occupancy) []Action {
	m, listed := t.machines[h.id]
	if !listed && h.stage != done {
		// The machine is gone for good.
		return h.unretire(done, now)
	}
	switch h.stage {
	case draining:
		return h.checkDrained(m, now, occupied(h.worker), w.drainTimeout(now))
	case ordered:
		return h.order(w.Number, m, now)
	case inUpkeep:
		return h.checkReturned(m, now)
	default:
		return nil
	}
}

// checkDrained waits until a machine's worker has little to lose, at most for a time.
func (h *host) checkDrained(m machine.Machine, now time.Time, occupancy Occupancy, timeout time.Duration) []Action {
	switch {
	case m.State != machine.Up:
		// It went down by itself.
		return h.unretire(pending, now)
	case m.Worker != h.worker:
		actions := h.unretire(draining, now)
		return append(actions, h.retire(m.Worker)...)
	case occupancy == Serving, occupancy == Busy && now.Sub(h.enteredAt) < timeout, now.Before(h.notBefore):
		return nil
	}
	h.enter(recording, now)
	return nil
}

// order orders the upkeep, again after a while without an answer.
func (h *host) order(number Number, m machine.Machine, now time.Time) []Action {
	if now.Sub(h.enteredAt) < orderRetry {
		return nil
	}
	if h.worker == "" {
		h.worker = m.Worker
	}
	h.enter(ordered, now)
	return []Action{Begin{Wave: number, Machine: h.id}}
}

// checkReturned waits until a machine is back. The list may be older than the upkeep.
func (h *host) checkReturned(m machine.Machine, now time.Time) []Action {
	if m.State != machine.Up {
		h.seenDown = true
		return nil
	}
	if h.seenDown || m.Worker != h.worker || now.Sub(h.enteredAt) >= assumeReturnedAfter {
		return h.unretire(done, now)
	}
	return nil
}

// retire lets a worker finish what it runs.
func (h *host) retire(name endpoint.Name) []Action {
	h.worker = name
	if name == "" {
		return nil
	}
	return []Action{Retire{Worker: name, Retired: true}}
}

// unretire moves a machine on, and takes back what was said of its worker.
func (h *host) unretire(next stage, now time.Time) []Action {
	h.enter(next, now)
	if h.worker == "" {
		return nil
	}
	return []Action{Retire{Worker: h.worker, Retired: false}}
}

// drainTimeout is how long a worker may take to finish what it runs.
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

// report returns a report if the last one is outdated. A wave is complete when every machine that stays has begun.
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

func (r *Record) equal(other *Record) bool {
	return r.Complete == other.Complete && slices.Equal(r.Ordered, other.Ordered) && slices.Equal(r.Begun, other.Begun)
}
