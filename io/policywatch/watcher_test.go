package policywatch

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/policy"
	"auburnstack/io/boottime"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// plainCodec decodes every configuration as an empty one.
type plainCodec struct{}

// Prefix implements Codec.
func (plainCodec) Prefix() string { return "op/" }

// Key implements Codec.
func (plainCodec) Key() string { return "op/config" }

// Decode implements Codec.
func (plainCodec) Decode(map[string]store.Item) (*policy.Policy, error) { return &policy.Policy{}, nil }

// newStoppedWatcher returns a watcher whose watch of the store has ended. The test calls its listener methods.
func newStoppedWatcher() *Watcher {
	w := New(memstore.New(1).Client(), plainCodec{}, boottime.Now, hclog.NewNullLogger(), func(*Snapshot, Source) {})
	w.Close()
	return w
}

// TestOtherWritesMakeNothingNewer guards against VMs that send each other a configuration that both have read, because
// the store answered one of them after a write to another key.
func TestOtherWritesMakeNothingNewer(t *testing.T) {
	first := store.Item{Key: "op/config", Revision: 1}
	early, late := newStoppedWatcher(), newStoppedWatcher()
	early.Replaced([]store.Item{first}, 1, 0)
	late.Replaced([]store.Item{first}, 1, 0)
	changes := []store.Event{
		{Item: store.Item{Key: "op/config", Revision: 11}},
		{Item: store.Item{Key: "op/out", Revision: 21}},
		{Item: store.Item{Key: "op/out", Revision: 31}, Deleted: true},
	}
	for _, event := range changes {
		before := early.Current()
		early.Changed([]store.Event{event}, event.Revision, 0)
		late.Changed([]store.Event{event}, event.Revision+5, 0)
		qt.Check(t, early.Current().Newer(before.Version), qt.IsTrue, qt.Commentf("%+v", event))
		qt.Check(t, late.Current().Newer(early.Current().Version), qt.IsFalse, qt.Commentf("%+v", event))
		qt.Check(t, early.Current().Newer(late.Current().Version), qt.IsFalse, qt.Commentf("%+v", event))
	}
}
