package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"auburnstack/io/caller"
)

// callerAccess holds the address and the credential with which a caller calls the system.
type callerAccess struct {
	Caller     netip.AddrPort `arg:"env:AUBURNSTACK_CALLER,required" help:"IP:PORT of the balancer or of any VM"`
	Credential string         `arg:"env:AUBURNSTACK_CREDENTIAL,required" help:"the client account's credential"`
}

func (a callerAccess) client() *client {
	return newClient(a.Caller, a.Credential)
}

type requestCommand struct {
	callerAccess
	Kind     string        `arg:"positional,required" help:"kind of work, as the routes table names it"`
	Body     string        `help:"body of the request; default: standard input"`
	ID       string        `help:"ID that identifies the request when it is repeated"`
	Deadline time.Duration `help:"deadline, if shorter than the route's"`
}

func (c *requestCommand) run(ctx context.Context) error {
	body := []byte(c.Body)
	if c.Body == "" {
		read, err := io.ReadAll(os.Stdin)
		if err != nil {
			return errors.WithStack(err)
		}
		body = read
	}
	header := http.Header{}
	if c.ID != "" {
		header.Set(caller.HeaderRequest, c.ID)
	}
	if c.Deadline > 0 {
		header.Set(caller.HeaderDeadline, c.Deadline.String())
	}
	got, err := c.client().call(ctx, http.MethodPost, "/v1/requests/"+c.Kind, header, body)
	if err != nil {
		return &exitError{code: exitUnknown, cause: "Unknown: " + err.Error()}
	}
	if got.status != http.StatusOK {
		return refusalError(got)
	}
	_, err = os.Stdout.Write(got.body)
	return errors.WithStack(err)
}
