package bounded

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/budget"
)

const (
	// firstBodyBytes is the size of the first buffer of a body whose length is unknown or larger. Most bodies are smaller.
	firstBodyBytes = 8 << 10
	// servedFactor is the memory for a request that is being served, for each byte of its body and besides the body
	// itself: the message that relays it to another VM, and the buffers of that connection. It is also enough for a
	// decoded submission of few steps; ChargeServed charges what others need.
	servedFactor = 3
)

// ErrNoRoom reports that a request was refused or its body abandoned because the budget has no room for it.
var ErrNoRoom = errors.New("there is no room for the request")

// ReadBody reads a request's body of at most limit bytes. The memory is charged to the budget of the request's
// connection before it is allocated, until the connection is idle or closed. ReadBody returns ErrNoRoom if there is no
// room, and http.MaxBytesError if the body is too large. The key is the API key of the request.
func ReadBody(w http.ResponseWriter, r *http.Request, key string, limit int64) ([]byte, error) {
	c, _ := r.Context().Value(contextKey{}).(*conn)
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if c == nil {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := c.begin(key)
	content, err := body.read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	return body.complete(content, err)
}

// Refuse tells a client that its request had no effect and when to send it again, and closes the connection.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// bodyReader reads the body of a connection's current request.
type bodyReader struct {
	conn *conn
	// admitted is set once the first buffer was charged.
	admitted bool
}

// begin begins the body of the connection's request.
func (c *conn) begin(key string) *bodyReader {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.member.Key = key
	c.received, c.served = 0, 0
	l.budget.Enter(c.member, budget.Body, time.Now())
	return &bodyReader{conn: c}
}

// read reads the body into a buffer that it doubles when it is full. The parameter length is the length that the client
// has announced, or -1.
func (b *bodyReader) read(source io.Reader, length, limit int64) ([]byte, error) {
	most := limit
	if length >= 0 {
		most = length
	}
	// One more byte lets the last read report the end without another buffer.
	most++
	size := min(most, firstBodyBytes)
	if !b.charge(size) {
		return nil, errors.WithStack(ErrNoRoom)
	}
	content := make([]byte, 0, size)
	for {
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err != nil {
			if errors.Is(err, io.EOF) {
				return content, nil
			}
			return nil, err
		}
		if len(content) < cap(content) {
			continue
		}
		size := min(most, 2*int64(cap(content)))
		if !b.charge(size) {
			return nil, errors.WithStack(ErrNoRoom)
		}
		grown := make([]byte, len(content), size)
		copy(grown, content)
		b.release(int64(cap(content)))
		content = grown
	}
}

// charge charges memory for the body. It returns false if there is no room.
func (b *bodyReader) charge(size int64) bool {
	l := b.conn.listener
	charge := l.budget.ChargeGrowth
	if !b.admitted {
		charge = l.budget.ChargeNewBody
	}
	l.mu.Lock()
	evicted, ok := charge(b.conn.member, size, time.Now())
	closing := l.take(evicted)
	l.mu.Unlock()
	b.admitted = b.admitted || ok
	l.end(closing)
	if !ok {
		l.refused(NoMemory)
	}
	return ok
}

// release takes back the charge for a buffer that was replaced.
func (b *bodyReader) release(size int64) {
	b.conn.listener.mu.Lock()
	defer b.conn.listener.mu.Unlock()
	b.conn.listener.budget.Release(b.conn.member, size)
}

// complete ends the body and charges the memory of the decoded request. It returns ErrNoRoom if there is no room or if
// the body was evicted; the request must then not be served.
func (b *bodyReader) complete(content []byte, err error) ([]byte, error) {
	if err == nil && !b.charge(servedFactor*int64(len(content))) {
		err = errors.WithStack(ErrNoRoom)
	}
	l := b.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	served := l.budget.Complete(b.conn.member, time.Now())
	switch {
	case !served:
		err = errors.WithStack(ErrNoRoom)
	case err == nil:
		b.conn.served = servedFactor * int64(len(content))
		return content, nil
	}
	l.budget.ReleaseAll(b.conn.member)
	return nil, err
}

// ChargeServed charges the memory that serving a request takes besides its body, unless as much was charged for it
// before. It returns false if there is no room, and true for requests that a Listener has not received.
func ChargeServed(ctx context.Context, size int64) bool {
	c, _ := ctx.Value(contextKey{}).(*conn)
	if c == nil {
		return true
	}
	l := c.listener
	l.mu.Lock()
	ok := size <= c.served
	var closing []eviction
	if !ok {
		var evicted []*budget.Connection
		if evicted, ok = l.budget.ChargeGrowth(c.member, size-c.served, time.Now()); ok {
			c.served = size
		}
		closing = l.take(evicted)
	}
	l.mu.Unlock()
	l.end(closing)
	if !ok {
		l.refused(NoMemory)
	}
	return ok
}

// Closing reports whether the connection of a request should be closed after the response, because so many are open.
func Closing(ctx context.Context) bool {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c != nil && c.listener.Short()
}
