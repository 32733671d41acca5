package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAnswers checks the error for each kind of invalid, incomplete or negative response from an endpoint.
func TestAnswers(t *testing.T) {
	answer := func(attempt, digest, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(HeaderAttempt, attempt)
			w.Header().Set(HeaderDigest, digest)
			_, _ = io.WriteString(w, body)
		}
	}
	cases := map[string]struct {
		serve http.HandlerFunc
		want  error
	}{
		"whole":              {answer("mine", Digest([]byte("yes")), "yes"), nil},
		"of another attempt": {answer("other", Digest([]byte("yes")), "yes"), ErrCorrupted},
		"changed on the way": {answer("mine", Digest([]byte("yes")), "yet"), ErrCorrupted},
		"cut short": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			answer("mine", Digest([]byte("yes")), "yes")(w, r)
		}, ErrLost},
		"connection closed": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrLost},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, ErrRefused},
		"failed": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderAttempt, "mine")
			w.WriteHeader(http.StatusInternalServerError)
		}, ErrFailed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(test.serve)
			defer server.Close()
			client := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 1)
			defer client.Close()
			reply, err := client.Run(context.Background(), Run{Attempt: "mine", Body: []byte("ask")})
			c.Assert(err, qt.ErrorIs, test.want)
			if test.want == nil {
				c.Assert(string(reply.Body), qt.Equals, "yes")
			}
		})
	}
}

// If the connection cannot be opened, the error must say that the request was not sent.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	client := NewClient(address, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := client.Run(ctx, Run{Attempt: "mine"})
	c.Assert(err, qt.ErrorIs, ErrNotSent)
}
