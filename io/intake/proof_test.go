package intake_test

import (
	"testing"
	"testing/synctest"
	"time"
	"unicode"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/answer"
	"auburnstack/core/policy"
	"auburnstack/core/roster"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// applyLimit is the time within which a change of the configuration must be in force on the VMs of these tests.
const applyLimit = 2 * time.Second

// keysCodec decodes a configuration whose value lists keys, one letter each, for one queue. A small letter is a key of
// the account "a", a capital one a key of the account "b".
type keysCodec struct{ codec }

// Decode implements policywatch.Codec.
func (keysCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	p := &policy.Policy{Queues: []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}}}
	for _, key := range string(items["op/config"].Value) {
		name := account.Name("a")
		if unicode.IsUpper(key) {
			name = "b"
		}
		p.Accounts = append(p.Accounts, policy.Account{Name: name, Keys: []policy.Key{policy.Digest(string(key))}})
	}
	return p, nil
}

// siteWithCounts is a site whose leader has just counted the pending jobs.
type siteWithCounts struct{ siteWithPeers }

// Pending implements intake.Site.
func (siteWithCounts) Pending() (map[string]int, time.Duration, bool) {
	return map[string]int{"q": 1}, 0, true
}

// Sizes implements intake.Site.
func (siteWithCounts) Sizes() []roster.Size { return nil }

// newProvenVM returns a VM that has just been shown the configuration with the given keys.
func newProvenVM(t *testing.T, keys string, peers ...relay.Peer) *vm {
	t.Helper()
	v := newVMOnWithCodec(t, keysCodec{}, 0, siteWithCounts{siteWithPeers{peers: peers}})
	v.service.Put("op/config", []byte(keys))
	time.Sleep(time.Second)
	return v
}

// TestReadsNeedProof guards against reads that only an outdated configuration allows: the VM hears of no change of the
// configuration any more, and a key is withdrawn.
func TestReadsNeedProof(t *testing.T) {
	for _, path := range []string{"/q/", "/q/" + jobID} {
		for _, relayed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				v := newProvenVM(t, "xy")
				qt.Assert(t, v.request("x", "POST", "/q/"+jobID, false).Kind, qt.Equals, answer.Done)
				v.watcher.Close()
				v.service.Put("op/config", []byte("y"))
				time.Sleep(applyLimit)
				a := v.request("x", "GET", path, relayed)
				qt.Check(t, a.Kind, qt.Equals, answer.Refused, qt.Commentf("%s %v: %s", path, relayed, a.Reason))
			})
		}
	}
}

// TestLateAnswerIsNoProof guards against a refusal by a configuration that is older than the answer of the store that
// brought it: the answer was long under way, and the configuration was replaced meanwhile.
func TestLateAnswerIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newProvenVM(t, "xy")
		v.watcher.Close()
		v.service.Put("op/config", []byte("y"))
		v.client.SetFaults(memstore.Faults{LateReplies: 850 * time.Millisecond})
		time.AfterFunc(100*time.Millisecond, func() { v.service.Put("op/config", []byte("xy")) })
		sent := time.Now()
		qt.Assert(t, v.request("x", "POST", "/q/"+jobID, true).Kind, qt.Equals, answer.NoKey)
		time.Sleep(time.Until(sent.Add(100*time.Millisecond + applyLimit)))
		qt.Check(t, v.request("x", "GET", "/q/", true).Kind, qt.Not(qt.Equals), answer.NoKey)
	})
}

// TestRepeatedRequestNeedsKey guards against the confirmation of a request that was carried out before, by a VM that
// has not heard that the key was withdrawn meanwhile.
func TestRepeatedRequestNeedsKey(t *testing.T) {
	for _, method := range []string{"POST", "DELETE"} {
		synctest.Test(t, func(t *testing.T) {
			v := newProvenVM(t, "xy")
			qt.Assert(t, v.request("x", "POST", "/q/"+jobID, false).Kind, qt.Equals, answer.Done)
			qt.Assert(t, v.request("x", method, "/q/"+jobID, false).Kind, qt.Equals, answer.Done)
			v.watcher.Close()
			v.service.Put("op/config", []byte("y"))
			time.Sleep(applyLimit)
			qt.Check(t, v.request("x", method, "/q/"+jobID, false).Kind, qt.Equals, answer.NoKey, qt.Commentf(method))
		})
	}
}

// TestForbiddenNeedsProof guards against a cancellation that is forbidden by an outdated configuration: the key has
// come to the account of the job meanwhile.
func TestForbiddenNeedsProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newProvenVM(t, "xY")
		qt.Assert(t, v.request("x", "POST", "/q/"+jobID, false).Kind, qt.Equals, answer.Done)
		qt.Check(t, v.request("Y", "DELETE", "/q/"+jobID, false).Kind, qt.Equals, answer.Forbidden)
		v.watcher.Close()
		v.service.Put("op/config", []byte("xy"))
		time.Sleep(applyLimit)
		qt.Check(t, v.request("Y", "DELETE", "/q/"+jobID, false).Kind, qt.Equals, answer.Refused)
	})
}
