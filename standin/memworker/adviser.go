package memworker

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/io/adviser"
	"auburnstack/io/runner"
)

const (
	// deniedOneIn sets the share of denied workers: on average, one in deniedOneIn workers may not run a given step.
	deniedOneIn = 3
	// A request for advice takes decisionTime, plus decisionTimePerWorker for each worker that the request names.
	decisionTime          = 50 * time.Millisecond
	decisionTimePerWorker = 5 * time.Millisecond
	// ticketValidity is the time for which a ticket, the permission to start a step on a worker, is valid.
	ticketValidity = 3 * time.Second
)

// Consult implements adviser.Adviser.
func (f *Fleet) Consult(ctx context.Context, step graph.StepID, workers []endpoint.Name) (adviser.Advice, error) {
	timer := time.NewTimer(decisionTime + time.Duration(len(workers))*decisionTimePerWorker)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return adviser.Advice{}, adviser.ErrUnanswered
	case <-timer.C:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	advice := adviser.Advice{Validity: ticketValidity}
	for _, name := range workers {
		w, known := f.workers[name]
		if !known || !permits(step, name) {
			continue
		}
		text := fmt.Sprintf("%s/%s/%d/%d", step, name, w.info.Incarnation, time.Now().Add(ticketValidity).UnixMilli())
		f.ticketExpiry[text] = time.Now().Add(ticketValidity)
		advice.Tickets = append(advice.Tickets, planner.Ticket{Worker: name, Text: text})
	}
	return advice, nil
}

// permits reports whether a worker may run a step. The result is always the same for the same step and worker.
func permits(step graph.StepID, name endpoint.Name) bool {
	return xxhash.Sum64String(step.String()+string(name))%deniedOneIn != 0
}

// acceptsTicket reports whether a start carries an unexpired ticket that was issued for its step and this incarnation
// of the worker.
func (w *simulatedWorker) acceptsTicket(s runner.Start) bool {
	expiry, known := w.fleet.ticketExpiry[s.Ticket]
	prefix := fmt.Sprintf("%s/%s/%d/", s.Task.ParentStep(), w.info.Name, w.info.Incarnation)
	return known && time.Now().Before(expiry) && len(s.Ticket) > len(prefix) && s.Ticket[:len(prefix)] == prefix
}
