package coordinator

import (
	"time"

	"auburnstack/io/mirror"
	"auburnstack/io/store"
)

// inboxWait is the longest time for which one watch call on the inbox waits for changes.
const inboxWait = 2 * time.Second

// inbox posts newly accepted jobs and cancellations to a term. It implements mirror.Listener.
type inbox struct {
	term *term
}

// followInbox starts to watch the inbox, the store keys under InboxPrefix, for changes that are newer than the given
// revision.
func (t *term) followInbox(from store.Revision) *mirror.Mirror {
	options := mirror.Options{Prefix: InboxPrefix, From: from, Wait: inboxWait, Timeout: loadTimeout}
	return mirror.New(t.config.Store, options, t.config.Log, &inbox{term: t})
}

// Replaced implements mirror.Listener.
func (i *inbox) Replaced(items []store.Item, _ store.Revision) {
	i.report(items)
}

// Changed implements mirror.Listener.
func (i *inbox) Changed(events []store.Event, _ store.Revision) {
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
