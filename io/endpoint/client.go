package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"auburnstack/core/request"
)

const (
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 500 * time.Millisecond
	// controlTimeout is the timeout for a control message (Reserve, Start, Exchange or Stop) and its reply. For a long
	// poll, the time that the endpoint may hold back the reply is added to controlTimeout.
	controlTimeout = time.Second
	// idleDivisor limits the number of idle connections that one VM keeps open to an endpoint. The maximum is an eighth
	// of the number of connections that the VM may open to this endpoint, but at least one.
	idleDivisor = 8
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
)

// Client implements Worker, the calls to one endpoint, over HTTP.
type Client struct {
	base     string
	requests *http.Client
	// control is the HTTP client for control messages that the endpoint answers at once. longPoll is the HTTP client
	// for exchanges whose reply the endpoint may hold back.
	control  *http.Client
	longPoll *http.Client
}

// NewClient returns a client that opens at most the given number of connections to the endpoint for requests, and two
// more for control messages and long polls.
func NewClient(address netip.AddrPort, connections int) *Client {
	return &Client{
		base:     "http://" + address.String(),
		requests: newHTTPClient(connections),
		control:  newHTTPClient(1),
		longPoll: newHTTPClient(1),
	}
}

func newHTTPClient(connections int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: max(connections/idleDivisor, 1),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.longPoll.CloseIdleConnections()
}

// Run implements Worker.
func (c *Client) Run(ctx context.Context, run Run) (RunReply, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathRun, bytes.NewReader(run.Body))
	if err != nil {
		return RunReply{}, errors.WithMessage(ErrNotSent, err.Error())
	}
	// Without GetBody the transport never retries the request by itself.
	call.GetBody = nil
	call.Header.Set(HeaderAttempt, string(run.Attempt))
	call.Header.Set(HeaderRequest, string(run.Request))
	call.Header.Set(HeaderKind, string(run.Kind))
	call.Header.Set(HeaderDigest, Digest(run.Body))
	response, err := c.requests.Do(call)
	if err != nil {
		return RunReply{}, translateSendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readRunReply(run, response)
}

// translateSendError returns ErrNotSent if the connection was never opened, and ErrLost otherwise.
func translateSendError(err error) error {
	if NeverSent(err) {
		return errors.WithMessage(ErrNotSent, err.Error())
	}
	return errors.WithMessage(ErrLost, err.Error())
}

// NeverSent reports whether an HTTP call failed because its connection could not be opened.
func NeverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readRunReply reads the response to a request and verifies that it is complete and belongs to the attempt.
func readRunReply(run Run, response *http.Response) (RunReply, error) {
	if response.Header.Get(HeaderNotRun) == "true" {
		return RunReply{}, ErrRefused
	}
	if response.Header.Get(HeaderAttempt) != string(run.Attempt) {
		return RunReply{}, ErrCorrupted
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, request.MaxBody+1))
	if err != nil {
		return RunReply{}, errors.WithMessage(ErrLost, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return RunReply{}, errors.WithMessage(ErrFailed, response.Status)
	}
	if len(body) > request.MaxBody || Digest(body) != response.Header.Get(HeaderDigest) {
		return RunReply{}, ErrCorrupted
	}
	busy, _ := strconv.Atoi(response.Header.Get(HeaderBusy))
	return RunReply{Body: body, Busy: busy}, nil
}

// Reserve implements Worker.
func (c *Client) Reserve(ctx context.Context, reserve Reserve) error {
	return c.call(ctx, c.control, controlTimeout, PathReserve, reserve, nil)
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, start Start) error {
	return c.call(ctx, c.control, controlTimeout, PathStart, start, nil)
}

// Exchange implements Worker.
func (c *Client) Exchange(ctx context.Context, exchange Exchange) (Report, error) {
	var report Report
	client := c.control
	if exchange.Wait > 0 {
		client = c.longPoll
	}
	err := c.call(ctx, client, exchange.Wait+controlTimeout, PathExchange, exchange, &report)
	return report, err
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, stop Stop) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, c.control, controlTimeout, PathStop, stop, &report)
	return report, err
}

// call sends a control message as JSON and decodes the reply, unless reply is nil.
func (c *Client) call(
	ctx context.Context, client *http.Client, timeout time.Duration, path string, message, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return errors.WithStack(err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := client.Do(call)
	if err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if err := StatusError(response.StatusCode); err != nil {
		return err
	}
	if reply == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return errors.WithStack(err)
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return errors.WithMessage(ErrLost, err.Error())
	}
	return nil
}

// Digest returns the checksum of a body, which the sender puts into the header HeaderDigest.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// HTTP statuses of replies that reject a control message.
const (
	statusStaleEpoch = http.StatusConflict
	statusNoTask     = http.StatusNotFound
	statusNoCapacity = http.StatusInsufficientStorage
)

// StatusError returns the error for the HTTP status of a reply to a control message. For an unexpected status, the
// error is ErrLost.
func StatusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case statusStaleEpoch:
		return ErrStaleEpoch
	case statusNoTask:
		return ErrNoTask
	case statusNoCapacity:
		return ErrNoCapacity
	default:
		return ErrLost
	}
}

// ErrorStatus returns the HTTP status for an error in reply to a control message.
func ErrorStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, ErrStaleEpoch):
		return statusStaleEpoch
	case errors.Is(err, ErrNoTask):
		return statusNoTask
	case errors.Is(err, ErrNoCapacity):
		return statusNoCapacity
	default:
		return http.StatusInternalServerError
	}
}
