package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/roster"
	"auburnstack/io/coordinator"
	"auburnstack/io/intake"
	"auburnstack/io/policywatch"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

const jobID = "0123456789abcdef"

// codec decodes every configuration as one queue with one key, and every submission as a job of one task.
type codec struct{}

// Prefix implements policywatch.Codec.
func (codec) Prefix() string { return "op/" }

// Key implements policywatch.Codec.
func (codec) Key() string { return "op/config" }

// Decode implements policywatch.Codec.
func (codec) Decode(map[string]store.Item) (*policy.Policy, error) {
	return &policy.Policy{
		Version: 1, Queues: []policy.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}},
		Accounts: []policy.Account{
			{Name: "a", Keys: []policy.Key{policy.Digest("key")}}, {Name: "b", Keys: []policy.Key{policy.Digest("other")}},
		},
	}, nil
}

// DecodeJob implements intake.Codec.
func (codec) DecodeJob([]byte) (*graph.Job, error) {
	return &graph.Job{Steps: []graph.Step{{Tasks: 1}}}, nil
}

// replies are the answers of a VM to the calls that it gets, in this order. The last one answers all further calls. A
// reply with the kind lost stands for a call that gets no answer.
type replies []answer.Kind

// lost is no kind of answer. It stands for a call without an answer.
const lost = answer.Kind(-1)

// scriptedPeer is another VM that answers each call as its replies say.
type scriptedPeer struct {
	replies replies
	calls   int
}

// Handle implements relay.Peer.
func (p *scriptedPeer) Handle(context.Context, relay.Request) (answer.Answer, error) {
	kind := p.replies[min(p.calls, len(p.replies)-1)]
	p.calls++
	if kind == lost {
		return answer.Answer{}, relay.ErrUnanswered
	}
	return answer.Answer{Kind: kind, Reason: "as the script says"}, nil
}

// Exchange implements relay.Peer.
func (p *scriptedPeer) Exchange(context.Context, relay.Heartbeat) (relay.HeartbeatReply, error) {
	return relay.HeartbeatReply{}, nil
}

// Configuration implements relay.Peer.
func (p *scriptedPeer) Configuration(context.Context, relay.PolicyRequest) (relay.PolicyReply, error) {
	return relay.PolicyReply{}, nil
}

// Ask implements relay.Peer.
func (p *scriptedPeer) Ask(context.Context, graph.ID) (relay.JobState, error) {
	return relay.JobState{}, nil
}

// siteWithPeers implements intake.Site without a leader.
type siteWithPeers struct {
	peers []relay.Peer
}

// JobState implements intake.Site.
func (siteWithPeers) JobState(context.Context, graph.ID) (relay.JobState, bool) {
	return relay.JobState{}, false
}

// Pending implements intake.Site.
func (siteWithPeers) Pending() (map[string]int, time.Duration, bool) { return nil, 0, false }

// Sizes implements intake.Site.
func (siteWithPeers) Sizes() []roster.Size { return nil }

// AdmitJob implements intake.Site.
func (siteWithPeers) AdmitJob(*graph.Job) (admitted, leading bool) { return true, true }

// ReleaseJob implements intake.Site.
func (siteWithPeers) ReleaseJob(*graph.Job) {}

// Peers implements intake.Site.
func (s siteWithPeers) Peers() []relay.Peer { return s.peers }

// vm is a VM under test, with its store and its connection to the store.
type vm struct {
	service *memstore.Service
	client  *memstore.Client
	watcher *policywatch.Watcher
	intake  *intake.Intake
	// deadline is the time within which callers want an answer.
	deadline time.Duration
}

// newVM returns a VM that knows the newest configuration and has the given peers.
func newVM(t *testing.T, peers ...relay.Peer) *vm {
	t.Helper()
	return newVMWithLimit(t, 0, peers...)
}

// newVMWithLimit is like newVM for a VM that knows the largest size of a value in the store.
func newVMWithLimit(t *testing.T, valueLimit int, peers ...relay.Peer) *vm {
	t.Helper()
	return newVMWithCodec(t, codec{}, valueLimit, peers...)
}

// newVMOn returns a VM of the given site.
func newVMOn(t *testing.T, valueLimit int, site intake.Site) *vm {
	t.Helper()
	return newVMOnWithCodec(t, codec{}, valueLimit, site)
}

// vmCodec decodes configurations and submissions.
type vmCodec interface {
	policywatch.Codec
	intake.Codec
}

// newVMWithCodec is like newVMWithLimit for a VM with the given codec.
func newVMWithCodec(t *testing.T, c vmCodec, valueLimit int, peers ...relay.Peer) *vm {
	t.Helper()
	return newVMOnWithCodec(t, c, valueLimit, siteWithPeers{peers: peers})
}

// newVMOnWithCodec returns a VM of the given site with the given codec.
func newVMOnWithCodec(t *testing.T, c vmCodec, valueLimit int, site intake.Site) *vm {
	t.Helper()
	v := &vm{service: memstore.New(1), deadline: 2800 * time.Millisecond}
	v.service.Put("op/config", []byte("{}"))
	v.client = v.service.Client()
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	monitor := store.NewMonitor(v.client)
	v.watcher = policywatch.New(monitor, c, clock, hclog.NewNullLogger(), func(*policywatch.Snapshot, policywatch.Source) {})
	t.Cleanup(v.watcher.Close)
	time.Sleep(time.Second)
	v.intake = intake.New(monitor, c, v.watcher, site, applyLimit, valueLimit,
		intake.NewMetrics(metrics.NewSet()), hclog.NewNullLogger())
	return v
}

// call handles a caller's request, or one that another VM has relayed.
func (v *vm) call(method string, relayed bool) answer.Answer {
	return v.callWith("key", method, relayed)
}

// callWith is like call for the account with the given key.
func (v *vm) callWith(key, method string, relayed bool) answer.Answer {
	return v.request(key, method, "/q/"+jobID, relayed)
}

// request is like callWith for any path.
func (v *vm) request(key, method, path string, relayed bool) answer.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), v.deadline)
	defer cancel()
	return v.intake.Handle(ctx, relay.Request{Method: method, Host: "h", Path: path, Key: key}, relayed)
}

// TestRejectionAfterLostAnswer checks that a caller is not told that its job was rejected when the answer to the
// store's write was lost. The write has taken effect, and the job runs.
func TestRejectionAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t, &scriptedPeer{replies: replies{answer.NoKey}})
		v.client.SetFaults(memstore.Faults{LoseReplies: 1})
		a := v.call("POST", false)
		qt.Assert(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 1)
		qt.Check(t, a.Kind, qt.Equals, answer.Unknown)
	})
}

// TestRejectionAfterLostRelay is the same for a relayed submission: the first VM may have stored the job without an
// answer, and another VM rejects the submission.
func TestRejectionAfterLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t, &scriptedPeer{replies: replies{lost, answer.NoKey}})
		v.client.SetFaults(memstore.Faults{Refuse: true})
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Unknown)
	})
}

// TestRejectionIsRelayed checks that the rejection of another VM is passed on when nothing was stored before.
func TestRejectionIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t, &scriptedPeer{replies: replies{answer.NoKey}})
		v.client.SetFaults(memstore.Faults{Refuse: true})
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.NoKey)
	})
}

// TestRefusalAfterUnknownOutcome checks that a caller is not told that its request had no effect while an attempt of
// any VM to carry it out may still have one. It guards against a job that runs although its submission was refused.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		name    string
		method  string
		faults  memstore.Faults
		relayed bool
		// peers holds the answers of each other VM.
		peers []replies
		want  answer.Kind
	}{
		{"lost write, refused by a peer", "POST", memstore.Faults{LoseReplies: 1}, false, []replies{{answer.Refused}}, answer.Unknown},
		{"lost write of a relayed request", "POST", memstore.Faults{LoseReplies: 1}, true, nil, answer.Unknown},
		{"lost relay, then refused", "POST", memstore.Faults{Refuse: true}, false, []replies{{lost, answer.Refused}}, answer.Unknown},
		{"unknown to a peer", "POST", memstore.Faults{Refuse: true}, false, []replies{{answer.Unknown}}, answer.Unknown},
		{"unknown to a peer, then refused by it", "POST", memstore.Faults{Refuse: true}, false,
			[]replies{{answer.Unknown, answer.Refused}}, answer.Unknown},
		{"unknown to a peer, refused by others", "POST", memstore.Faults{Refuse: true}, false,
			[]replies{{answer.Refused}, {answer.Unknown, answer.Overloaded}, {answer.Refused}}, answer.Unknown},
		{"unknown to a peer, then accepted", "POST", memstore.Faults{Refuse: true}, false,
			[]replies{{answer.Unknown, answer.Refused}, {answer.Refused, answer.Done}}, answer.Done},
		{"cancellation unknown to a peer, refused by others", "DELETE", memstore.Faults{Refuse: true}, false,
			[]replies{{answer.Unknown, answer.Refused}, {answer.Refused}}, answer.Unknown},
		{"lost relay of a cancellation", "DELETE", memstore.Faults{Refuse: true}, false,
			[]replies{{lost, answer.Refused}}, answer.Unknown},
		{"refused by all", "POST", memstore.Faults{Refuse: true}, false, []replies{{answer.Refused}, {answer.Refused}}, answer.Refused},
		{"refused, relayed", "POST", memstore.Faults{Refuse: true}, true, nil, answer.Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peers []relay.Peer
				for _, r := range test.peers {
					peers = append(peers, &scriptedPeer{replies: r})
				}
				v := newVM(t, peers...)
				v.client.SetFaults(test.faults)
				qt.Check(t, v.call(test.method, test.relayed).Kind, qt.Equals, test.want)
			})
		})
	}
}

// TestJobTooLarge checks that a job that the store can't hold is rejected at once, and that a caller is not told to
// come back with it, whether or not the VM knows the store's limit.
func TestJobTooLarge(t *testing.T) {
	for _, test := range []struct {
		known int
		want  answer.Kind
	}{{100, answer.TooLarge}, {0, answer.Invalid}} {
		synctest.Test(t, func(t *testing.T) {
			v := newVMWithLimit(t, test.known)
			v.service.SetValueLimit(100)
			begun := time.Now()
			qt.Check(t, v.call("POST", false).Kind, qt.Equals, test.want)
			qt.Check(t, time.Since(begun) < 100*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestUnknownOutcomeOfOldConfiguration is the same for a VM that relays its requests because another VM has answered
// one of them, perhaps according to a newer configuration.
func TestUnknownOutcomeOfOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t, &scriptedPeer{replies: replies{answer.Done, answer.Unknown, answer.Refused}})
		v.client.SetFaults(memstore.Faults{Refuse: true})
		qt.Assert(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Unknown)
	})
}
