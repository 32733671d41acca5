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
		Accounts: []policy.Account{{Name: "a", Keys: []policy.Key{policy.Digest("key")}}},
	}, nil
}

// DecodeJob implements intake.Codec.
func (codec) DecodeJob([]byte) (*graph.Job, error) {
	return &graph.Job{Steps: []graph.Step{{Tasks: 1}}}, nil
}

// rejectingPeer is another VM that rejects each request because it has a newer configuration without the caller's key.
// The call before the first rejection gets no answer if loseFirst is set.
type rejectingPeer struct {
	loseFirst bool
	calls     int
}

// Handle implements relay.Peer.
func (p *rejectingPeer) Handle(context.Context, relay.Request) (answer.Answer, error) {
	p.calls++
	if p.loseFirst && p.calls == 1 {
		return answer.Answer{}, relay.ErrUnanswered
	}
	return answer.Answer{Kind: answer.NoKey, Reason: "the key belongs to no account"}, nil
}

// Exchange implements relay.Peer.
func (p *rejectingPeer) Exchange(context.Context, relay.Heartbeat) (relay.HeartbeatReply, error) {
	return relay.HeartbeatReply{}, nil
}

// Ask implements relay.Peer.
func (p *rejectingPeer) Ask(context.Context, graph.ID) (relay.JobState, error) {
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

// Peers implements intake.Site.
func (s siteWithPeers) Peers() []relay.Peer { return s.peers }

// submit submits a job to a VM whose calls to the store have the given faults and whose only peer is given.
func submit(t *testing.T, faults memstore.Faults, peer *rejectingPeer) (answer.Answer, *memstore.Service) {
	t.Helper()
	service := memstore.New(1)
	service.Put("op/config", []byte("{}"))
	client := service.Client()
	monitor := store.NewMonitor(client)
	watcher := policywatch.New(monitor, codec{}, hclog.NewNullLogger(), func(*policywatch.Snapshot, bool) {})
	defer watcher.Close()
	time.Sleep(time.Second)
	client.SetFaults(faults)
	in := intake.New(monitor, codec{}, watcher, siteWithPeers{peers: []relay.Peer{peer}},
		intake.NewMetrics(metrics.NewSet()), hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(context.Background(), 2800*time.Millisecond)
	defer cancel()
	a := in.Handle(ctx, relay.Request{Method: "POST", Host: "h", Path: "/q/" + jobID, Key: "key"}, false)
	return a, service
}

// TestRejectionAfterLostAnswer checks that a caller is not told that its job was rejected when the answer to the store's
// write was lost. The write has taken effect, and the job runs.
func TestRejectionAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, service := submit(t, memstore.Faults{LoseReplies: 1}, &rejectingPeer{})
		qt.Assert(t, service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 1)
		qt.Check(t, a.Kind, qt.Equals, answer.Unknown)
	})
}

// TestRejectionAfterLostRelay is the same for a relayed submission: the first VM may have stored the job without an
// answer, and another VM rejects the submission.
func TestRejectionAfterLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := submit(t, memstore.Faults{Refuse: true}, &rejectingPeer{loseFirst: true})
		qt.Check(t, a.Kind, qt.Equals, answer.Unknown)
	})
}

// TestRejectionIsRelayed checks that the rejection of another VM is passed on when nothing was stored before.
func TestRejectionIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := submit(t, memstore.Faults{Refuse: true}, &rejectingPeer{})
		qt.Check(t, a.Kind, qt.Equals, answer.NoKey)
	})
}
