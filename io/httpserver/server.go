// Package httpserver runs an HTTP handler on a listener, with timeouts and a limit on the size of the headers.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout is the time within which a client must send its headers. readTimeout is the time within which a
	// client must send the whole request. idleTimeout is the time after which an idle connection is closed.
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader is the maximum size of the headers in bytes.
	maxHeader = 16 << 10
)

// Server is an HTTP server on one listener.
type Server struct {
	http *http.Server
	done chan struct{}
}

// New starts a server on a listener.
func New(listener net.Listener, handler http.Handler) *Server {
	s := &Server{
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s
}

// Close stops accepting requests, waits for in-flight requests until the context ends, and then closes the server.
func (s *Server) Close(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	<-s.done
}
