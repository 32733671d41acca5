package planner

import (
	"net/netip"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
)

// expiredMemory is the time for which the planner remembers runs whose worker's lease has expired. A worker that
// crashed in the meantime is back within seconds.
const expiredMemory = 30 * time.Second

// expiredRun is a run whose worker's lease has expired. Whether the worker crashed or was only cut off shows when it
// answers again.
type expiredRun struct {
	lostRun
	worker  endpoint.Name
	address netip.AddrPort
	// incarnation is the incarnation of the worker that had the run, or a newer one of another worker of the unit.
	incarnation roster.Incarnation
	// until is the time until which the run is remembered.
	until time.Time
	// counted is set if the run counts as lost in a crash already.
	counted bool
}

// rememberExpired remembers the runs on a worker whose lease has expired, as far as a crash would count against them.
// If the worker has probably crashed and may be back under another name and address, rememberExpired counts the crash
// at once and returns the suspected units.
func (p *Planner) rememberExpired(w *worker, now time.Time) []*unit {
	runs, explained := suspects(p.lostRuns(w, now))
	unseen := w.Incarnation == 0
	vanished := !w.registered && (explained || unseen)
	for _, run := range runs {
		if unseen {
			// A previous leader ordered the start. It is unknown how long before the crash that was.
			run.Age = 0
		}
		p.expired = append(p.expired, expiredRun{
			lostRun: run, worker: w.Name, address: w.Address, until: now.Add(expiredMemory),
			incarnation: max(w.Incarnation, run.unit.newestIncarnation),
			counted:     vanished && p.suspect(run, w, false),
		})
	}
	if !vanished {
		return nil
	}
	return unitsOf(runs)
}

// takeExpired removes and returns the remembered runs of a worker, or of an earlier worker at its address. It also
// forgets runs that were remembered for long.
func (p *Planner) takeExpired(w *worker, now time.Time) []expiredRun {
	var taken []expiredRun
	kept := p.expired[:0]
	for _, run := range p.expired {
		switch {
		case run.worker == w.Name || w.Address.IsValid() && run.address == w.Address:
			taken = append(taken, run)
		case now.Before(run.until):
			kept = append(kept, run)
		}
	}
	p.expired = kept
	return taken
}

// retract discounts the crashes that were counted against remembered runs if the same incarnation of their worker is
// back. It returns the other runs. An incarnation of 0 is another worker.
func (p *Planner) retract(expired []expiredRun, name endpoint.Name, incarnation roster.Incarnation) []lostRun {
	var lost []lostRun
	for _, run := range expired {
		if run.worker != name || incarnation == 0 || incarnation > run.incarnation {
			lost = append(lost, run.lostRun)
			continue
		}
		if c := run.crashes(); run.counted && c.CrashedRun == run.Run && c.Crashes > 0 {
			c.Crashes--
			run.unit.setCrashes(c)
			p.markDirty(run.unit.part)
		}
	}
	return lost
}
