package entry_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	core "auburnstack/core/endpoint"
	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/standin/verify"
)

// leaveGrace is the default of the LeaveGrace setting.
const leaveGrace = 2 * time.Second

// replace shuts a VM down gracefully and starts another in its place. Callers continue to send calls to the old VM
// until the old VM refuses them, as callers do behind a load balancer that lags.
func (f *fleet) replace(old vm.VM, number int) {
	replacement := old
	replacement.Name = vm.Name(fmt.Sprintf("%s-new-%d", old.FailureDomain, number))
	f.startNode(replacement, uint64(100+number))
	node := f.nodes[old.Name]
	node.Leave()
	// Requests are sent every 500 ms and take 50 ms, so some are in flight 20 ms later.
	time.Sleep(leaveGrace + 20*time.Millisecond)
	node.Refuse()
	f.replaceInList(old, replacement)
	// From here on the old VM may disappear at any time.
	f.kill(old.Name)
	node.Close()
	f.store.SetList(f.list)
}

// TestRollingReplacement replaces every VM, one after the other, under load: no accepted work may be lost, and no
// request may end with an unknown outcome.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.background.Go(func() {
			time.Sleep(faultsStart)
			for i, v := range append([]vm.VM{}, f.list.VMs...) {
				f.replace(v, i)
				time.Sleep(3 * time.Second)
			}
		})
		evidence := (&session{fleet: f}).run()
		f.background.Wait()
		f.close()
		counts := evidence.Report.Count()
		qt.Check(t, counts.Unknown, qt.Equals, 0)
		qt.Check(t, counts.JobsAccepted > 20, qt.IsTrue)
		assertInvariants(t, f, evidence)
	})
}

// TestPlannedStopAwaitsRequests checks that a VM's graceful shutdown ends only after its in-flight request has been
// answered.
func TestPlannedStopAwaitsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.close()
		s := &session{fleet: f}
		s.put(0, poolsText)
		time.Sleep(workStarts)
		node := f.nodes[f.list.VMs[0].Name]
		answered := make(chan request.Outcome, 1)
		go func() {
			answered <- node.Dispatcher.Do(context.Background(), request.Request{
				ID: "Slow", ClientAccount: "Desks", Kind: "Invoice", Class: route.Urgent,
				Deadline: time.Now().Add(4 * time.Second), CallerChoseID: true, Body: []byte(`{"Duration":3000000000}`),
			})
		}()
		time.Sleep(500 * time.Millisecond)

		node.Leave()
		node.Refuse()
		node.Close()

		qt.Assert(t, answered, qt.HasLen, 1)
		_, isAnswered := (<-answered).(request.Answered)
		qt.Check(t, isAnswered, qt.IsTrue)
	})
}

// busyEndpoint returns the index of the endpoint with the most entries in its journal.
func (f *fleet) busyEndpoint() int {
	best, most := 0, -1
	for i, e := range f.list.Endpoints {
		if ran := len(f.workers[e.Name].Journal()); ran > most {
			best, most = i, ran
		}
	}
	return best
}

// TestLeavingEndpoint checks that an endpoint gets no new request and no new task later than verify.GraceOut after the
// platform lists it as leaving.
func TestLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		var left time.Time
		var name core.Name
		f.background.Go(func() {
			time.Sleep(faultsStart)
			list := f.list
			list.Endpoints = slices.Clone(f.list.Endpoints)
			busy := f.busyEndpoint()
			list.Endpoints[busy].Leaving = true
			name = list.Endpoints[busy].Name
			f.store.SetList(list)
			left = time.Now()
		})
		evidence := (&session{fleet: f}).run()
		f.close()
		before, after := 0, 0
		for _, entry := range evidence.Journal {
			switch {
			case entry.Worker != name:
			case entry.Began.After(left.Add(verify.DomainOutGrace)):
				after++
			default:
				before++
			}
		}
		qt.Check(t, before > 0, qt.IsTrue)
		qt.Check(t, after, qt.Equals, 0)
		assertInvariants(t, f, evidence)
	})
}

// checkRevisions checks that each revision a VM adopts is higher than the one before.
func checkRevisions(t *testing.T, events []timeline.Event) {
	t.Helper()
	last := map[vm.Name]int{}
	for _, event := range events {
		if event.Kind != timeline.TablesAdopted {
			continue
		}
		revision := 0
		_, err := fmt.Sscanf(event.Subject, "revision %d", &revision)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, revision > last[event.VM], qt.IsTrue, qt.Commentf("%s went to %d", event.VM, revision))
		last[event.VM] = revision
	}
}
