package intake_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/io/coordinator"
)

// slowCodec is like codec, but takes the given time to decode a job. It counts the jobs that it decodes at a time.
type slowCodec struct {
	codec
	took time.Duration

	mu            sync.Mutex
	current, peak int
}

// DecodeJob implements intake.Codec.
func (s *slowCodec) DecodeJob(body []byte) (*graph.Job, error) {
	s.mu.Lock()
	s.current++
	s.peak = max(s.peak, s.current)
	s.mu.Unlock()
	time.Sleep(s.took)
	s.mu.Lock()
	s.current--
	s.mu.Unlock()
	return s.codec.DecodeJob(body)
}

// TestFewSubmissionsAreDecodedAtATime guards against exhaustion of memory by the decoder, which may allocate several
// times a body, when many bodies arrive at once.
func TestFewSubmissionsAreDecodedAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowCodec{took: 10 * time.Millisecond}
		v := newVMWithCodec(t, slow, 0)
		var running sync.WaitGroup
		for range 50 {
			running.Go(func() { qt.Check(t, v.call("POST", false).Kind, qt.Equals, answer.Done) })
		}
		running.Wait()
		qt.Check(t, slow.peak <= 2, qt.IsTrue, qt.Commentf("%d submissions were decoded at a time", slow.peak))
	})
}

// TestSubmissionWithoutPlaceIsNotStored guards against a refusal for lack of memory of a job that is stored.
func TestSubmissionWithoutPlaceIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowCodec{took: time.Minute}
		v := newVMWithCodec(t, slow, 0)
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { v.call("POST", false) })
		}
		synctest.Wait()
		a := v.call("POST", false)
		qt.Check(t, a.Kind, qt.Equals, answer.Refused)
		qt.Check(t, a.RetryAfter > 0, qt.IsTrue)
		qt.Check(t, v.service.Keys(coordinator.JobKey(jobID)), qt.HasLen, 0)
		running.Wait()
	})
}
