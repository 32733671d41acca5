package bounded

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"auburnstack/core/budget"
)

// site is a server on a bounded listener. It answers with the length of a request's body.
type site struct {
	t        *testing.T
	listener *Listener
	server   *http.Server

	mu      sync.Mutex
	reasons map[Reason]int
}

func newSite(t *testing.T, limits budget.Limits, readTimeout time.Duration, handle http.HandlerFunc) *site {
	t.Helper()
	s := &site{t: t, reasons: map[Reason]int{}}
	var err error
	s.listener, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), limits, func(reason Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons[reason]++
	})
	qt.Assert(t, err, qt.IsNil)
	s.server = &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute, ReadTimeout: readTimeout}
	s.listener.Attach(s.server)
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func answerLength(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, "key", 1<<20)
	switch {
	case errors.Is(err, ErrNoRoom):
		Refuse(w)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprint(w, len(body))
	}
}

func (s *site) count(reason Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[reason]
}

// send opens a connection and sends a text.
func (s *site) send(text string) net.Conn {
	s.t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(s.t.Context(), "tcp", s.listener.Addr().String())
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	qt.Assert(s.t, err, qt.IsNil)
	return c
}

// receive reads a response and returns its status, its header Retry-After and its body.
func (s *site) receive(c net.Conn) (status int, retryAfter, body string) {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(s.t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	qt.Assert(s.t, err, qt.IsNil)
	return response.StatusCode, response.Header.Get("Retry-After"), string(content)
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// await waits until a condition holds.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition does not hold")
}

// TestStalledBodyIsRefused guards against bodies that stop before their end and keep the memory that others need.
func TestStalledBodyIsRefused(t *testing.T) {
	s := newSite(t, budget.Limits{Connections: 100, Bytes: 1 << 20, Floor: 1 << 20}, time.Minute, answerLength)
	large := strings.Repeat("b", 300_000)
	stalled := s.send(post(len(large)+1, large))
	await(t, func() bool { _, charged, _ := s.listener.Usage(); return charged > 300_000 })
	status, body := 0, ""
	await(t, func() bool {
		var retryAfter string
		// The first answers are 503, until the other body counts as stalled. 190,000 bytes need 570,000 when decoded.
		status, retryAfter, body = s.receive(s.send(post(190_000, large[:190_000])))
		qt.Check(t, retryAfter == "1" || status == http.StatusOK, qt.IsTrue)
		return status == http.StatusOK
	})
	qt.Check(t, body, qt.Equals, "190000")
	status, retryAfter, _ := s.receive(stalled)
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, retryAfter, qt.Equals, "1")
	qt.Check(t, s.count(StalledBody), qt.Equals, 1)
}

// TestIdleConnectionsMakeRoom guards against connections that are kept open and leave none for others.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := newSite(t, budget.Limits{Connections: 4, Bytes: 1 << 20, Floor: 1 << 20}, time.Minute, answerLength)
	for range 4 {
		status, _, body := s.receive(s.send(post(2, "ab")))
		qt.Check(t, status, qt.Equals, http.StatusOK)
		qt.Check(t, body, qt.Equals, "2")
	}
	status, retryAfter, _ := s.receive(s.send(""))
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, retryAfter, qt.Equals, "1")
	await(t, func() bool {
		status, _, _ := s.receive(s.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		return status == http.StatusOK
	})
	qt.Check(t, s.count(IdleConnection) > 0, qt.IsTrue)
}

// TestChargesEnd guards against charges that remain after requests and connections have ended.
func TestChargesEnd(t *testing.T) {
	s := newSite(t, budget.Limits{Connections: 100, Bytes: 64 << 20, Floor: 64 << 20}, time.Minute, answerLength)
	var open []net.Conn
	for i := range 20 {
		c := s.send(post(i*1000, strings.Repeat("b", i*1000)))
		status, _, body := s.receive(c)
		qt.Check(t, status, qt.Equals, http.StatusOK)
		qt.Check(t, body, qt.Equals, fmt.Sprint(i*1000))
		open = append(open, c)
	}
	await(t, func() bool { _, charged, _ := s.listener.Usage(); return charged == 20*budget.ConnectionBytes })
	for _, c := range open {
		_ = c.Close()
	}
	await(t, func() bool { connections, charged, _ := s.listener.Usage(); return connections == 0 && charged == 0 })
}

// TestTimeLimitDoesNotEndServing guards against the loss of a response because the time limit for reading a request also
// cancels the request while it is being served.
func TestTimeLimitDoesNotEndServing(t *testing.T) {
	s := newSite(t, budget.Limits{Connections: 100, Bytes: 64 << 20, Floor: 64 << 20}, 300*time.Millisecond,
		func(w http.ResponseWriter, r *http.Request) {
			_, err := ReadBody(w, r, "key", 1<<20)
			qt.Check(t, err, qt.IsNil)
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusGatewayTimeout)
			case <-time.After(time.Second):
			}
		})
	status, _, _ := s.receive(s.send(post(2, "ab")))
	qt.Check(t, status, qt.Equals, http.StatusOK)
}

// TestChunkedBodies guards against bodies of unknown length that lose bytes when their buffer grows, or pass the limit.
func TestChunkedBodies(t *testing.T) {
	s := newSite(t, budget.Limits{Connections: 100, Bytes: 64 << 20, Floor: 64 << 20}, time.Minute, answerLength)
	for length, expected := range map[int]int{1: 200, firstBodyBytes - 1: 200, firstBodyBytes: 200, 1 << 20: 200, 1<<20 + 1: 400} {
		c := s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			length, strings.Repeat("b", length)))
		status, _, body := s.receive(c)
		qt.Check(t, status, qt.Equals, expected)
		if expected == http.StatusOK {
			qt.Check(t, body, qt.Equals, fmt.Sprint(length))
		}
	}
}
