package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"auburnstack/io/caller"
	"auburnstack/io/operator"
)

// reply is an HTTP reply with its whole body.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// client calls the HTTP interface of one VM with one credential.
type client struct {
	baseURL    string
	credential string
	http       *http.Client
}

func newClient(address netip.AddrPort, credential string) *client {
	return &client{baseURL: "http://" + address.String(), credential: credential, http: &http.Client{}}
}

// call sends a request and returns the reply, whatever its status.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, errors.WithStack(err)
	}
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: content}, errors.WithStack(err)
}

// get decodes the JSON reply to a GET request into view. A status other than 200 is an error.
func (c *client) get(ctx context.Context, path string, view any) error {
	got, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if got.status != http.StatusOK {
		return problemError(got)
	}
	return errors.WithStack(json.Unmarshal(got.body, view))
}

// problemError converts an error reply of the operator interface into an error with an exit code.
func problemError(got reply) error {
	var problem operator.Problem
	if json.Unmarshal(got.body, &problem) != nil || problem.Error == "" {
		return errors.Errorf("status %d: %s", got.status, strings.TrimSpace(string(got.body)))
	}
	lines := append([]string{problem.Error}, problem.Mistakes...)
	for _, change := range problem.Changes {
		lines = append(lines, "  "+change)
	}
	text := strings.Join(lines, "\n")
	switch got.status {
	case http.StatusConflict:
		return &exitError{code: exitConflict, cause: text}
	case http.StatusUnprocessableEntity:
		return &exitError{code: exitInvalidInput, cause: text}
	case http.StatusBadGateway:
		return &exitError{code: exitUnknown, cause: text}
	default:
		return errors.New(text)
	}
}

// refusalError converts an error reply of the caller interface into an error with an exit code. If the reply cannot be
// decoded, it is unknown whether the request ran.
func refusalError(got reply) error {
	var refusal caller.Refusal
	if json.Unmarshal(got.body, &refusal) != nil || refusal.Outcome == "" {
		return &exitError{code: exitUnknown, cause: "Unknown: no readable reply"}
	}
	text := refusal.Outcome + ": " + string(refusal.Reason)
	if refusal.Detail != "" {
		text += ": " + refusal.Detail
	}
	if refusal.Outcome == "NotRun" {
		return &exitError{code: exitNotRun, cause: text}
	}
	return &exitError{code: exitUnknown, cause: text}
}
