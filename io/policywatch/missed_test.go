package policywatch

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/domain"
	"auburnstack/core/policy"
	"auburnstack/io/boottime"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// newStrictWatcher returns a watcher whose watch of the store has ended and that has read the configuration "xy".
func newStrictWatcher() *Watcher {
	w := New(memstore.New(1).Client(), strictCodec{}, boottime.Now, hclog.NewNullLogger(), func(*Snapshot, Source) {})
	w.Close()
	w.Replaced([]store.Item{{Key: "op/config", Revision: 1, Value: []byte("xy")}}, 1, 0)
	return w
}

// TestValidConfigurationBeforeInvalid guards against a valid configuration being passed over because the same call of
// the watch has returned an invalid one after it.
func TestValidConfigurationBeforeInvalid(t *testing.T) {
	w := newStrictWatcher()
	w.Changed([]store.Event{
		{Item: store.Item{Key: "op/config", Revision: 5, Value: []byte("xyz")}},
		{Item: store.Item{Key: "op/config", Revision: 7, Value: []byte("invalid")}},
	}, 7, 0)
	qt.Check(t, w.Current().Revision, qt.Equals, store.Revision(7))
	qt.Check(t, w.Current().Policy.Version, qt.Equals, policy.Version(3))
}

// TestMissedConfiguration guards against a VM that has missed a valid configuration, sees the invalid one after it and
// keeps the policy before both: this policy must not replace that of VMs that have seen all, but be replaced by it,
// also if the VM has read all keys again later. Changes of the other keys must apply all the same.
func TestMissedConfiguration(t *testing.T) {
	invalid := store.Item{Key: "op/config", Revision: 7, Value: []byte("invalid")}
	seen := newStrictWatcher()
	seen.Changed([]store.Event{{Item: store.Item{Key: "op/config", Revision: 5, Value: []byte("xyz")}}}, 5, 0)
	seen.Changed([]store.Event{{Item: invalid}}, 7, 0)

	missed := newStrictWatcher()
	missed.Replaced([]store.Item{invalid}, 9, 0)
	qt.Check(t, missed.Current().Policy.Version, qt.Equals, policy.Version(2))
	qt.Check(t, missed.Current().Revision, qt.Equals, store.Revision(7))
	missed.Changed([]store.Event{{Item: store.Item{Key: "op/out", Revision: 11}}}, 11, 0)
	qt.Check(t, missed.Current().Policy.Out, qt.DeepEquals, []domain.Name{"op/out"})

	seen.Offer(missed.Current())
	qt.Check(t, seen.Current().Policy.Version, qt.Equals, policy.Version(3))
	missed.Offer(seen.Current())
	qt.Check(t, missed.Current().Policy.Version, qt.Equals, policy.Version(3))

	missed.Changed([]store.Event{{Item: store.Item{Key: "op/out2", Revision: 12}}}, 12, 0)
	qt.Check(t, missed.Current().Policy.Version, qt.Equals, policy.Version(3))
	qt.Check(t, missed.Current().Policy.Out, qt.HasLen, 2)
	missed.Replaced([]store.Item{invalid}, 15, 0)
	qt.Check(t, missed.Current().Policy.Version, qt.Equals, policy.Version(3))

	missed.Changed([]store.Event{{Item: store.Item{Key: "op/config", Revision: 20, Value: []byte("vwxyz")}}}, 20, 0)
	qt.Check(t, missed.Current().Policy.Version, qt.Equals, policy.Version(5))
}
