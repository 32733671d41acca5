package intake_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/io/coordinator"
	"auburnstack/io/intake"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// queuesCodec decodes configurations of up to four queues, of which two need no key, and two accounts. A
// configuration holds the names of the queues that are not named as their prefixes; an empty name stands for a queue
// that is removed.
type queuesCodec struct{ codec }

// Decode implements policywatch.Codec.
func (queuesCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	names := map[string]string{}
	if err := json.Unmarshal(items["op/config"].Value, &names); err != nil {
		return nil, errors.WithStack(err)
	}
	p := &policy.Policy{Accounts: []policy.Account{
		{Name: "a", Keys: []policy.Key{policy.Digest("key")}}, {Name: "b", Keys: []policy.Key{policy.Digest("second")}},
	}}
	for _, prefix := range []string{"q", "other", "open", "free"} {
		name, named := names[prefix]
		if !named {
			name = prefix
		}
		if name == "" {
			continue
		}
		p.Queues = append(p.Queues, policy.Queue{
			Name: name, Host: "h", Prefix: "/" + prefix + "/", Service: "s", Anonymous: prefix == "open" || prefix == "free",
		})
	}
	return p, nil
}

// siteWithLeader is a site whose leader knows the jobs that are stored.
type siteWithLeader struct {
	siteWithPeers
	client *memstore.Client
	// earlier is set if the leader is of an earlier build, which does not tell a job's origin. noAddress is set if it is
	// of one that does not tell the address of the job's queue.
	earlier, noAddress bool
}

// JobState implements intake.Site.
func (s *siteWithLeader) JobState(ctx context.Context, id graph.ID) (relay.JobState, bool) {
	item, err := s.client.Get(ctx, coordinator.JobKey(id))
	if err != nil {
		return relay.JobState{Leading: true}, true
	}
	state := relay.JobState{Leading: true, Known: true, State: graph.Running}
	if job, err := coordinator.DecodeJob(item); err == nil && !s.earlier {
		state.Origin = job.Origin()
		if s.noAddress {
			state.Origin.Address = policy.Address{}
		}
	}
	return state, true
}

// originSites lists the sites on which each case is played: the VM reads states from the store or from a leader.
var originSites = map[string]intake.Site{
	"no leader": siteWithPeers{}, "leader": &siteWithLeader{}, "leader of an earlier build": &siteWithLeader{earlier: true},
	"leader without addresses": &siteWithLeader{noAddress: true},
}

// TestCallsConcernTheirOrigin plays the cases of testdata/origins.script, on the VM itself and relayed. Guards
// against LOST: a client without a key canceled the job of another queue, and saw its state. Guards against LOST and
// UNASKED: a job was unknown and could not be canceled once its queue had another name.
func TestCallsConcernTheirOrigin(t *testing.T) {
	script, err := os.ReadFile("testdata/origins.script")
	qt.Assert(t, err, qt.IsNil)
	for _, text := range strings.Split(string(script), "case: ")[1:] {
		name, calls, _ := strings.Cut(text, "\n")
		for siteName, site := range originSites {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/relayed %t", name, siteName, relayed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playCalls(t, calls, site, relayed) })
				})
			}
		}
	}
}

// playCalls makes the given calls, one a line, and checks their answers.
func playCalls(t *testing.T, calls string, site intake.Site, relayed bool) {
	v := newVMOnWithCodec(t, queuesCodec{}, 0, site)
	if s, leads := site.(*siteWithLeader); leads {
		s.client = v.service.Client()
	}
	for _, line := range strings.Split(strings.TrimSpace(calls), "\n") {
		call, want, _ := strings.Cut(line, ": ")
		words := strings.Fields(call)
		if words[0] == "NAME" {
			v.nameQueues(t, words[1:])
			continue
		}
		qt.Assert(t, words, qt.HasLen, 3)
		a := v.request(strings.Trim(words[2], "-"), words[0], "/"+words[1]+"/"+jobID, relayed)
		qt.Check(t, a.Kind.String(), qt.Equals, want, qt.Commentf("%s: %s", call, a.Reason))
	}
}

// nameQueues puts a configuration in force in which queues have other names, given as PREFIX=NAME.
func (v *vm) nameQueues(t *testing.T, pairs []string) {
	names := map[string]string{}
	for _, pair := range pairs {
		prefix, name, _ := strings.Cut(pair, "=")
		names[prefix] = name
	}
	value, err := json.Marshal(names)
	qt.Assert(t, err, qt.IsNil)
	v.service.Put("op/config", value)
	time.Sleep(time.Second)
}

// movedCodec decodes a configuration whose value is the name of the only queue, which has a single key.
type movedCodec struct{ codec }

// Decode implements policywatch.Codec.
func (movedCodec) Decode(items map[string]store.Item) (*policy.Policy, error) {
	return &policy.Policy{
		Queues:   []policy.Queue{{Name: string(items["op/config"].Value), Host: "h", Prefix: "/q/", Service: "s"}},
		Accounts: []policy.Account{{Name: "a", Keys: []policy.Key{policy.Digest("key")}}},
	}, nil
}

// TestOtherQueueNeedsProof guards against a denial by an outdated configuration (LOST): the path leads to another
// queue meanwhile, to which the job was submitted at another VM of an earlier build, whose record has no address.
func TestOtherQueueNeedsProof(t *testing.T) {
	for _, method := range []string{"GET", "DELETE"} {
		synctest.Test(t, func(t *testing.T) {
			v := newVMOnWithCodec(t, movedCodec{}, 0, siteWithPeers{})
			v.service.Put("op/config", []byte("before"))
			time.Sleep(time.Second)
			v.watcher.Close()
			v.service.Put("op/config", []byte("after"))
			job, err := json.Marshal(graph.Job{ID: jobID, ClientAccount: account.Name("a"), Queue: "after"})
			qt.Assert(t, err, qt.IsNil)
			v.service.Put(coordinator.JobKey(jobID), job)
			time.Sleep(applyLimit)
			qt.Check(t, v.call(method, false).Kind, qt.Equals, answer.Refused, qt.Commentf(method))
		})
	}
}

// TestWithdrawalOfEarlierBuild checks that the record of an earlier build, which has no queue, holds in all queues.
// Guards against UNASKED during an update: a submission took effect after its caller was told that there is no such job.
func TestWithdrawalOfEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVMOnWithCodec(t, queuesCodec{}, 0, siteWithPeers{})
		v.service.Put(coordinator.WithdrawnKey(jobID), []byte(`{"Accounts":["a"]}`))
		qt.Check(t, v.request("second", "DELETE", "/q/"+jobID, false).Kind, qt.Equals, answer.NoJob)
		for _, key := range []string{"key", "second"} {
			qt.Check(t, v.request(key, "POST", "/q/"+jobID, false).Kind, qt.Equals, answer.NoJob, qt.Commentf(key))
		}
	})
}
