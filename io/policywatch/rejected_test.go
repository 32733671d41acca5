package policywatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/domain"
	"auburnstack/core/policy"
	"auburnstack/io/boottime"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// strictCodec is like plainCodec, but rejects the configuration "invalid". Each other key is a failure domain that is
// out.
type strictCodec struct{ plainCodec }

// Decode implements Codec.
func (strictCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	if string(items["op/config"].Value) == "invalid" {
		return nil, errors.New("invalid")
	}
	p := &policy.Policy{Version: policy.Version(len(items["op/config"].Value))}
	for key := range items {
		if key != "op/config" {
			p.Out = append(p.Out, domain.Name(key))
		}
	}
	return p, nil
}

// TestRejectedConfiguration guards against VMs that can't confirm the configuration in force, and so refuse all
// submissions, because the newest one is invalid, and against evacuations that do not apply until it is corrected.
func TestRejectedConfiguration(t *testing.T) {
	w := New(memstore.New(1).Client(), strictCodec{}, boottime.Now, hclog.NewNullLogger(), func(*Snapshot, Source) {})
	w.Close()
	w.Replaced([]store.Item{{Key: "op/config", Revision: 1, Value: []byte("xy")}}, 1, 0)
	invalid := store.Item{Key: "op/config", Revision: 5, Value: []byte("invalid")}
	w.Changed([]store.Event{{Item: invalid}}, 5, 0)
	qt.Check(t, w.Current().Revision, qt.Equals, store.Revision(5))
	qt.Check(t, w.Current().Policy.Version, qt.Equals, policy.Version(2))
	w.Changed([]store.Event{{Item: store.Item{Key: "op/out", Revision: 6}}}, 6, 0)
	qt.Check(t, w.Current().Policy.Version, qt.Equals, policy.Version(2))
	qt.Check(t, w.Current().Policy.Out, qt.DeepEquals, []domain.Name{"op/out"})
	w.Changed(nil, 6, time.Second)
	qt.Check(t, w.Current().CurrentAt, qt.Equals, time.Second)

	w.Changed([]store.Event{{Item: store.Item{Key: "op/config", Revision: 7, Value: []byte("xyz")}}}, 7, 0)
	qt.Check(t, w.Current().Policy.Version, qt.Equals, policy.Version(3))
}

// TestRejectedConfigurationOfAnotherCall is the same for a configuration that another call than the watch has returned,
// and for a VM that has got the earlier configuration from another VM.
func TestRejectedConfigurationOfAnotherCall(t *testing.T) {
	w := New(memstore.New(1).Client(), strictCodec{}, boottime.Now, hclog.NewNullLogger(), func(*Snapshot, Source) {})
	w.Close()
	invalid := store.Item{Key: "op/config", Revision: 5, Value: []byte("invalid")}
	w.AdoptItem(invalid, 0)
	qt.Check(t, w.Current().Policy, qt.IsNil, qt.Commentf("no earlier configuration is known"))
	w.Offer(&Snapshot{Policy: &policy.Policy{Version: 2}, Version: Version{Revision: 1, ChangedAt: 1}})
	w.AdoptItem(invalid, 0)
	qt.Check(t, w.Current().Revision, qt.Equals, store.Revision(5))
	qt.Check(t, w.Current().Policy.Version, qt.Equals, policy.Version(2))
	w.Replaced([]store.Item{invalid}, 9, 0)
	qt.Check(t, w.Current().Policy.Version, qt.Equals, policy.Version(2))
}
