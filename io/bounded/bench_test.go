package bounded

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"auburnstack/core/budget"
)

// BenchmarkRequests measures requests one after the other on one connection, with and without a budget.
func BenchmarkRequests(b *testing.B) {
	for _, name := range []string{"plain", "bounded"} {
		b.Run(name, func(b *testing.B) {
			server := &http.Server{Handler: http.HandlerFunc(answerLength)}
			var listener net.Listener
			var err error
			if name == "plain" {
				var config net.ListenConfig
				listener, err = config.Listen(context.Background(), "tcp", "127.0.0.1:0")
			} else {
				var l *Listener
				l, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"),
					budget.Limits{Connections: 100, Bytes: 64 << 20, Floor: 64 << 20}, func(Reason) {})
				l.Attach(server)
				listener = l
			}
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			client := &http.Client{Transport: &http.Transport{}}
			for b.Loop() {
				request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+listener.Addr().String(),
					strings.NewReader(strings.Repeat("b", 800)))
				if err != nil {
					b.Fatal(err)
				}
				response, err := client.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
