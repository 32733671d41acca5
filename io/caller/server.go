// Package caller implements the HTTP interface for callers, the users of the client accounts. It converts HTTP calls to
// requests and jobs, and converts the outcomes of these requests and jobs to HTTP statuses.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"auburnstack/core/account"
	"auburnstack/core/document"
	"auburnstack/core/job"
	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/core/table"
	"auburnstack/io/httpserver"
	"auburnstack/io/jobs"
)

const (
	// maxJobBody is the maximum size in bytes of the body of a submission.
	maxJobBody = 64 << 10
)

// Requests runs requests and returns their outcomes.
type Requests interface {
	Do(ctx context.Context, r request.Request) request.Outcome
}

// Jobs submits, shows and cancels jobs. All its errors are errors of the jobs package.
type Jobs interface {
	Submit(ctx context.Context, owner account.Name, submission jobs.Submission) (job.Record, error)
	Status(ctx context.Context, owner account.Name, id job.ID) (job.Record, error)
	Cancel(ctx context.Context, owner account.Name, id job.ID) (job.Record, error)
}

// Health reports whether the VM accepts new work.
type Health interface {
	Ready() bool
}

// Server serves the callers' HTTP interface.
type Server struct {
	*httpserver.Server
	accounts *account.Registry
	tables   func() *table.Tables
	requests Requests
	jobs     Jobs
	health   Health
}

// New starts the HTTP server for callers on a listener.
func New(
	listener net.Listener, accounts *account.Registry, tables func() *table.Tables,
	requests Requests, jobs Jobs, health Health,
) (*Server, error) {
	s := &Server{
		accounts: accounts, tables: tables, requests: requests, jobs: jobs, health: health,
	}
	handler, err := s.handler()
	if err != nil {
		return nil, err
	}
	s.Server = httpserver.New(listener, handler)
	return s, nil
}

func (s *Server) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", s.serveReady)
	v1 := app.Party("/v1", s.authenticate)
	v1.Post("/requests/{kind}", s.serveRequest)
	v1.Post("/jobs", s.serveSubmit)
	v1.Get("/jobs/{id:path}", s.serveStatus)
	v1.Delete("/jobs/{id:path}", s.serveCancel)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (s *Server) serveReady(ctx iris.Context) {
	if !s.health.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString("leaving\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

// accountKey is the context key of the caller's account.
const accountKey = "auburnstack.account"

// authenticate stores the caller's account in the context, or replies with status 401.
func (s *Server) authenticate(ctx iris.Context) {
	credential, found := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	owner, known := s.accounts.Authenticate(credential)
	if !found || !known {
		refuse(ctx, http.StatusUnauthorized, request.NotRun{Reason: Unauthorized})
		return
	}
	ctx.Values().Set(accountKey, owner.Name)
	ctx.Next()
}

func ownerOf(ctx iris.Context) account.Name {
	owner, _ := ctx.Values().Get(accountKey).(account.Name)
	return owner
}

func (s *Server) serveRequest(ctx iris.Context) {
	r, problem := s.readRequest(ctx)
	if problem != "" {
		refuse(ctx, problem.status(), request.NotRun{Reason: problem.reason()})
		return
	}
	ctx.Header(HeaderRequest, string(r.ID))
	switch outcome := s.requests.Do(ctx.Request().Context(), r).(type) {
	case request.Answered:
		ctx.Header(HeaderOutcome, "Answered")
		ctx.ContentType("application/octet-stream")
		_, _ = ctx.Write(outcome.Body)
	case request.NotRun:
		refuse(ctx, notRunStatus(outcome.Reason), outcome)
	case request.Unknown:
		refuse(ctx, unknownStatus(outcome.Reason), outcome)
	}
}

// problem is the reason for which a call is invalid and its request is not run. The empty problem means that the call
// is valid.
type problem string

const (
	tooLarge    problem = "the body is too large"
	incomplete  problem = "the body is incomplete"
	badID       problem = "the request ID is not a name"
	badDeadline problem = "the deadline is not a duration"
	noRoute     problem = "no route for this kind"
)

func (p problem) status() int {
	switch p {
	case tooLarge:
		return http.StatusRequestEntityTooLarge
	case noRoute:
		return http.StatusNotFound
	default:
		return http.StatusBadRequest
	}
}

func (p problem) reason() request.Reason {
	if p == noRoute {
		return request.NoRoute
	}
	return request.Reason(p)
}

// readRequest builds a request from a call. It generates an ID if the caller has not set one.
func (s *Server) readRequest(ctx iris.Context) (request.Request, problem) {
	key := route.Key{ClientAccount: ownerOf(ctx), Kind: route.Kind(ctx.Params().Get("kind"))}
	found, ok := s.tables().Route(key)
	if !ok {
		return request.Request{}, noRoute
	}
	r := request.Request{
		ID: request.ID(ctx.GetHeader(HeaderRequest)), ClientAccount: key.ClientAccount, Kind: key.Kind,
		Class: found.Class, Idempotent: found.Idempotent && ctx.GetHeader(HeaderIdempotent) != "false",
		Deadline: time.Now().Add(found.Deadline),
	}
	r.CallerChoseID = r.ID != ""
	if r.CallerChoseID && !document.ValidName(string(r.ID)) {
		return r, badID
	}
	if !r.CallerChoseID {
		r.ID = newRequestID()
	}
	if fault := applyCallerDeadline(&r, ctx.GetHeader(HeaderDeadline)); fault != "" {
		return r, fault
	}
	return r, readBody(ctx, &r)
}

// applyCallerDeadline sets the deadline that the caller requested if it is earlier than the route's deadline.
func applyCallerDeadline(r *request.Request, text string) problem {
	if text == "" {
		return ""
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return badDeadline
	}
	if earlier := time.Now().Add(requested); earlier.Before(r.Deadline) {
		r.Deadline = earlier
	}
	return ""
}

func readBody(ctx iris.Context, r *request.Request) problem {
	body, err := readAll(ctx, request.MaxBody)
	var oversized *http.MaxBytesError
	if errors.As(err, &oversized) {
		return tooLarge
	}
	if err != nil {
		return incomplete
	}
	r.Body = body
	return ""
}
