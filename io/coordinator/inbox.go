package coordinator

import (
	"time"

	"auburnstack/io/mirror"
	"auburnstack/io/store"
)

const (
	// inboxWait is the longest time for which one watch call on the inbox waits for changes.
	inboxWait = 600 * time.Millisecond
	// inboxMargin is the time after inboxWait for which a watch call may go unanswered. An accepted job that the leader
	// does not read can't start, so a store that leaves watches unanswered is read instead, about once a second.
	inboxMargin = 400 * time.Millisecond
)

// inbox posts newly accepted jobs and cancellations to a term. It implements mirror.Listener.
type inbox struct {
	term *term
}

// followInbox starts to watch the inbox, the store keys under InboxPrefix, for changes that are newer than the given
// revision.
func (t *term) followInbox(from store.Revision) *mirror.Mirror {
	options := mirror.Options{
		Prefix: InboxPrefix, From: from, Wait: inboxWait, Margin: inboxMargin, Timeout: loadTimeout,
	}
	return mirror.New(t.config.Store, options, t.config.Log, &inbox{term: t})
}

// Replaced implements mirror.Listener.
func (i *inbox) Replaced(items []store.Item, _ store.Revision, _ time.Duration) {
	i.report(items)
}

// Changed implements mirror.Listener.
func (i *inbox) Changed(events []store.Event, _ store.Revision, _ time.Duration) {
	var items []store.Item
	for _, e := range events {
		if !e.Deleted {
			items = append(items, e.Item)
		}
	}
	i.report(items)
}

func (i *inbox) report(items []store.Item) {
	if len(items) == 0 {
		return
	}
	i.term.post(decodeInbox(items, i.term.logSkippedRecord))
}
