package intake_test

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/io/coordinator"
	"auburnstack/io/relay"
)

// limitedSite is a site whose VM may store no further job by itself.
type limitedSite struct {
	siteWithPeers
	leading bool
	// full is set while the VM may store no job.
	full bool
	// admitted and released count the calls of the methods.
	admitted, released int
}

// AdmitJob implements intake.Site.
func (s *limitedSite) AdmitJob(*graph.Job) (admitted, leading bool) {
	s.admitted++
	return !s.full, s.leading
}

// ReleaseJob implements intake.Site.
func (s *limitedSite) ReleaseJob(*graph.Job) { s.released++ }

// TestNoMemory checks that the leader refuses a job for which it has no memory, with a time for the next attempt, and
// that the job is not stored.
func TestNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &limitedSite{leading: true, full: true}
		v := newVMOn(t, 0, site)
		a := v.call("POST", false)
		qt.Check(t, a.Kind, qt.Equals, answer.Refused)
		qt.Check(t, a.RetryAfter > 0, qt.IsTrue)
		qt.Check(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 0)
		site.full = false
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
	})
}

// TestRepeatedSubmissionNeedsNoMemory checks that a caller which has missed the answer to its submission is not told that
// the job never runs, only because the leader has no memory for further jobs.
func TestRepeatedSubmissionNeedsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &limitedSite{leading: true}
		v := newVMOn(t, 0, site)
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		site.full = true
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
	})
}

// TestLeaderDecides checks that a VM passes a job beyond its allowance on to the leader, and refuses it without one.
func TestLeaderDecides(t *testing.T) {
	for _, test := range []struct {
		reply, want answer.Kind
	}{{answer.Done, answer.Done}, {answer.Refused, answer.Refused}, {answer.Invalid, answer.Invalid}, {lost, answer.Unknown}} {
		synctest.Test(t, func(t *testing.T) {
			peer := &scriptedPeer{replies: replies{test.reply}}
			site := &limitedSite{siteWithPeers: siteWithPeers{peers: []relay.Peer{peer}}, full: true}
			v := newVMOn(t, 0, site)
			qt.Check(t, v.call("POST", false).Kind, qt.Equals, test.want)
			qt.Check(t, peer.calls > 0, qt.IsTrue)
			qt.Check(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 0)
		})
	}
}

// TestReleaseAfterRejection checks that a job that was admitted, but not stored, takes no memory any more.
func TestReleaseAfterRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &limitedSite{leading: true}
		v := newVMOn(t, 0, site)
		qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done)
		qt.Check(t, site.released, qt.Equals, 0)
		qt.Check(t, v.callWith("other", "POST", false).Kind, qt.Equals, answer.Invalid)
		qt.Check(t, site.admitted, qt.Equals, 2)
		qt.Check(t, site.released, qt.Equals, 1)
	})
}
