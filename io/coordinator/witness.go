package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
)

const (
	// maxWitnesses is the number of workers whose writes date those of other workers.
	maxWitnesses = 6
	// witnessPatience is the time for which a term waits until that many workers have replied.
	witnessPatience = time.Second
)

// witness is an earlier write of a registration that still exists. It dates the writes of other workers in the time
// before this VM has had answers of the store: a write with a higher revision was made later than the worker's clock
// showed the reading that this write carries.
type witness struct{ roster.Worker }

// witnessesRead carries the witnesses that were read.
type witnessesRead struct{ witnesses []witness }

func (witnessesRead) isEvent() {}

// chooseWitnesses returns workers whose clocks are known and whose writes are spread over time. It returns none while
// more workers may still reply.
func (h *history) chooseWitnesses(now time.Time) []endpoint.Name {
	var known []roster.Worker
	h.term.planner.Workers(func(w roster.Worker) {
		if _, dated := h.term.maxAge(&w, now); dated && h.term.planner.Registered(w.Name) {
			known = append(known, w)
		}
	})
	if len(known) < maxWitnesses && now.Sub(h.begunAt) < witnessPatience {
		return nil
	}
	slices.SortFunc(known, func(a, b roster.Worker) int { return cmp.Compare(a.Revision, b.Revision) })
	var chosen []endpoint.Name
	count := min(len(known), maxWitnesses)
	for i := range count {
		chosen = append(chosen, known[i*len(known)/count].Name)
	}
	return chosen
}

// witnessedAge returns an upper bound of the time since the write with the given revision, as far as the witnesses show
// it, or math.MaxInt64.
func (h *history) witnessedAge(revision int64, now time.Time) time.Duration {
	atMost := time.Duration(math.MaxInt64)
	for i := range h.witnesses {
		w := &h.witnesses[i].Worker
		if age, known := h.term.maxAge(w, now); known && w.Revision < revision {
			atMost = min(atMost, age)
		}
	}
	return atMost
}

// maxAge returns an upper bound of the time since a worker wrote a registration, and false if the worker's clock is not
// known or belongs to another incarnation.
func (t *term) maxAge(w *roster.Worker, now time.Time) (time.Duration, bool) {
	l, linked := t.links[w.Name]
	if !linked {
		return 0, false
	}
	return l.maxAge(now, w.Clock, w.Incarnation)
}
