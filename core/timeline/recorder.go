package timeline

import (
	"sync"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/vm"
)

// Recorder keeps the latest events of one process. It is safe for concurrent use.
type Recorder struct {
	clock *Clock
	// self is the name of the VM on which this process runs, and failureDomain is the failure domain of that VM.
	self          vm.Name
	failureDomain domain.Name
	// observer is called with each recorded event.
	observer func(Event)

	mu sync.Mutex
	// events is a ring buffer of fixed capacity. Once it is full, next is the index of the oldest event, which the next
	// call of Record overwrites.
	events []Event
	next   int
}

// NewRecorder returns a recorder that keeps at most capacity events and calls observer with each one.
func NewRecorder(clock *Clock, self vm.Name, failureDomain domain.Name, capacity int, observer func(Event)) *Recorder {
	return &Recorder{
		clock: clock, self: self, failureDomain: failureDomain, observer: observer, events: make([]Event, 0, capacity),
	}
}

// Record records an event, stamped with the current time, and passes it to the observer.
func (r *Recorder) Record(kind Kind, subject, detail string) {
	event := Event{
		Stamp: r.clock.Now(time.Now()), VM: r.self, FailureDomain: r.failureDomain, Kind: kind, Subject: subject,
		Detail: detail,
	}
	r.observer(event)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the kept events with a stamp greater than since, oldest first.
func (r *Recorder) Events(since Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event.Stamp > since {
			found = append(found, event)
		}
	}
	return found
}
