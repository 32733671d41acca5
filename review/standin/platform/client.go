package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientDeadline is the time for which a client waits for an answer.
const clientDeadline = 3 * time.Second

// Answer is what a client got for a call. Status is 0 if there was no answer.
type Answer struct {
	Status int
	Body   string
}

// Accepted reports whether the status is 2xx.
func (a Answer) Accepted() bool {
	return a.Status/100 == 2
}

// Call sends a client's call about a job of the queue of priority 1 to a VM, and records it with its answer.
func (s *Site) Call(v *VM, method, id string, message any) Answer {
	return s.CallQueue(v, method, Prefix, id, message)
}

// CallQueue is like Call for a job of the queue with a prefix.
func (s *Site) CallQueue(v *VM, method, prefix, id string, message any) Answer {
	body, err := json.Marshal(message)
	if err != nil || message == nil {
		body = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	request.Host = Host
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("X-Auburnstack-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	s.Record.Note("client sends %s %s to %s", method, id, v.Name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.Record.Note("client gets no answer to %s %s: %v", method, id, err)
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	a := Answer{Status: response.StatusCode, Body: strings.TrimSpace(string(content))}
	s.Record.Note("client gets %d %s for %s %s", a.Status, a.Body, method, id)
	return a
}
