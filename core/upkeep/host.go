package upkeep

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/machine"
)

// stage is the progress of one machine through its upkeep.
type stage int

const (
	// pending machines are still in normal service.
	pending stage = iota
	// draining machines have a retired worker: it finishes its running tasks and gets no new ones.
	draining
	// recording machines are drained. Their upkeep may be ordered once a report that lists them in Record.Ordered is
	// stored.
	recording
	// ordered machines wait for the platform to confirm their upkeep, which may or may not have been ordered yet.
	ordered
	// inUpkeep machines have begun their upkeep and are not yet back in service.
	inUpkeep
	// done machines are back in service, have been removed from the platform, or can never have this upkeep.
	done
)

// host is a machine of a wave.
type host struct {
	id    machine.ID
	stage stage
	// worker is the worker that was retired. If no worker was, it is the one that ran on the machine when the upkeep was
	// ordered.
	worker endpoint.Name
	// seenDown is set once the machine was listed as not up after its upkeep had begun.
	seenDown bool
	// enteredAt is the time at which the current stage began. It is zero if the next step of the stage is due at once.
	enteredAt time.Time
	// missing is the number of the last lists in a row that did not have the machine.
	missing int
	// notBefore is the earliest time at which a refused upkeep may be ordered again.
	notBefore time.Time
}

// enter moves the machine to its next stage.
func (h *host) enter(next stage, now time.Time) {
	h.stage, h.enteredAt = next, now
}

// checkDrained ends the draining once the worker is empty, or is busy and the timeout has passed, but not before
// notBefore. While the worker runs long-running tasks, the draining has no time limit. The draining is abandoned if the
// machine goes out of service, and starts again if another worker runs on the machine.
func (h *host) checkDrained(m machine.Machine, now time.Time, occupancy Occupancy, timeout time.Duration) []Action {
	switch {
	case m.State != machine.Up:
		// The machine went out of service for another reason than this upkeep.
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

// order returns the action that orders the upkeep, and returns it again each time orderRetry passes without an answer.
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

// checkReturned detects that a machine is back in service. The list of machines may be older than the upkeep, so an
// entry that is up with the same worker does not count until assumeReturnedAfter has passed.
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

// retire returns the action that retires a worker, or nothing if name is empty.
func (h *host) retire(name endpoint.Name) []Action {
	h.worker = name
	if name == "" {
		return nil
	}
	return []Action{Retire{Worker: name, Retired: true}}
}

// unretire moves the machine to its next stage and returns the action that lets its old worker get tasks again.
func (h *host) unretire(next stage, now time.Time) []Action {
	h.enter(next, now)
	if h.worker == "" {
		return nil
	}
	return []Action{Retire{Worker: h.worker, Retired: false}}
}
