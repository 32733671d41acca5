package bounded

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/budget"
)

// TestServedRequestsAreCharged guards against short bodies that expand when they are decoded and wait for an answer, each
// with many times the memory that was charged for its body.
func TestServedRequestsAreCharged(t *testing.T) {
	const size = 350_000
	release := make(chan struct{})
	s := newSite(t, budget.Limits{Connections: 100, Bytes: 1 << 20, Floor: 1 << 20}, time.Minute,
		func(w http.ResponseWriter, r *http.Request) {
			_, err := ReadBody(w, r, "key", 1<<20)
			qt.Check(t, err, qt.IsNil)
			if !ChargeServed(r.Context(), size) || !ChargeServed(r.Context(), size/2) {
				Refuse(w)
				return
			}
			<-release
		})
	charged := func() int64 { _, charged, _ := s.listener.Usage(); return charged }
	first, second := s.send(post(2, "ab")), s.send(post(2, "ab"))
	await(t, func() bool { return charged() >= 2*size })
	status, retryAfter, _ := s.receive(s.send(post(2, "ab")))
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, retryAfter, qt.Equals, "1")
	qt.Check(t, s.count(NoMemory), qt.Equals, 1)
	close(release)
	for _, c := range []net.Conn{first, second} {
		status, _, _ = s.receive(c)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
	await(t, func() bool { return charged() < size })
}
