package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/roster"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// maxHistoryCalls is the largest number of calls to the store for the history of one worker.
	maxHistoryCalls = 5
	// historyAge is how far back the history is read at first, and minHistoryAge how far at least. If the store has
	// discarded that much, half of it is read.
	historyAge    = 12 * time.Second
	minHistoryAge = 3 * time.Second
	// silentShare is one over the share of workers that may write their registrations late.
	silentShare = 10
)

// Reasons for which the history of a registration does not show that its worker has left.
var (
	errNoHistory     = errors.New("the store's history does not reach back to the last write of the registration")
	errNotRemoved    = errors.New("the registration was written again after its removal")
	errHistoryUnread = errors.New("the store's history of the registration could not be read")
)

// historyReader reads the history of registrations. Its methods must not be called at the same time.
type historyReader struct {
	term *term
	// newest is the revision of the newest registration; 0 if there is none. perInterval is about the number of changes
	// of the store between two writes of a registration.
	newest, perInterval store.Revision
	// age is how far back the next call reads.
	age time.Duration
}

// newHistoryReader returns a reader for a term that has read the given registrations.
func newHistoryReader(t *term, list []roster.Worker) *historyReader {
	r := &historyReader{term: t, age: historyAge}
	revisions := make([]store.Revision, 0, len(list))
	for i := range list {
		revisions = append(revisions, store.Revision(list[i].Revision))
	}
	if len(revisions) > 0 {
		slices.Sort(revisions)
		r.newest = revisions[len(revisions)-1]
		r.perInterval = r.newest - revisions[len(revisions)/silentShare]
	}
	return r
}

// start returns a revision from which the history reaches back for about the reader's age: by the answers to this VM's
// calls or, if the VM has just started, by the rate at which workers write their registrations.
func (r *historyReader) start() store.Revision {
	revision, known := r.term.config.Revisions.At(r.age)
	if interval := r.term.config.Settings.RegistrationInterval; r.newest > 0 && interval > 0 {
		guess := max(r.newest-r.perInterval*store.Revision(r.age/interval+1), 1)
		if !known || guess < revision {
			return guess
		}
	}
	return revision
}

// readRemoval returns the last removal of a worker's registration.
func (r *historyReader) readRemoval(ctx context.Context, worker endpoint.Name) (removedRegistration, error) {
	events, err := r.readEvents(ctx, worker)
	if err != nil {
		return removedRegistration{}, err
	}
	var last, removed store.Event
	for _, event := range events {
		if event.Deleted {
			removed = event
		} else {
			last, removed = event, store.Event{}
		}
	}
	if last.Revision == 0 {
		return removedRegistration{}, errNoHistory
	}
	if removed.Revision <= last.Revision {
		return removedRegistration{}, errNotRemoved
	}
	registration, err := r.decode(last)
	return removedRegistration{last: registration, removedAt: removed.Revision}, err
}

// readWitnesses returns the writes of some registrations. It leaves out what can't be read.
func (r *historyReader) readWitnesses(ctx context.Context, workers []endpoint.Name) []witness {
	var witnesses []witness
	for _, worker := range workers {
		events, err := r.readEvents(ctx, worker)
		if err != nil {
			r.term.config.Log.Debug("reading the history of a worker failed", "worker", worker, "error", err.Error())
		}
		for _, event := range events {
			if event.Deleted {
				continue
			}
			if registration, err := r.decode(event); err == nil {
				witnesses = append(witnesses, witness{registration})
			}
		}
	}
	return witnesses
}

func (r *historyReader) decode(event store.Event) (roster.Worker, error) {
	registration, err := r.term.config.Roster.Decode(event.Item)
	registration.Revision = int64(event.Revision)
	return registration, err
}

// readEvents returns all events of a registration that the history holds. It reads until there are no more, as an
// answer may hold only the first ones.
func (r *historyReader) readEvents(ctx context.Context, worker endpoint.Name) ([]store.Event, error) {
	key := r.term.config.Roster.Prefix() + string(worker)
	var events []store.Event
	after := r.start()
	for range maxHistoryCalls {
		changes, err := r.watch(ctx, key, after)
		switch {
		case store.HistoryLost(err) && r.age/2 >= minHistoryAge:
			r.age /= 2
			events, after = nil, r.start()
		case store.HistoryLost(err):
			return nil, errNoHistory
		case err != nil:
			wait.For(ctx, retryPause)
		case len(changes.Events) == 0:
			// The key is a prefix of others.
			return slices.DeleteFunc(events, func(e store.Event) bool { return e.Key != key }), nil
		default:
			events, after = append(events, changes.Events...), changes.Revision
		}
	}
	return nil, errHistoryUnread
}

func (r *historyReader) watch(ctx context.Context, key string, after store.Revision) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.term.config.Store.Watch(ctx, key, after, 0)
}
