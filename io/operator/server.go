// Package operator implements the operators' HTTP interface: tables, status, timeline and metrics.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"auburnstack/core/document"
	"auburnstack/core/endpoint"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
	"auburnstack/io/httpserver"
	"auburnstack/io/membership"
	"auburnstack/io/tables"
)

const (
	// putTimeout is the timeout for one edit.
	putTimeout = 5 * time.Second
	// maxBody is the maximum size in bytes of the body of an edit.
	maxBody = 2*table.MaxTableBytes + 1<<20
)

// Dependencies holds the operators' credential and the components that the server uses.
type Dependencies struct {
	Credential string
	Follower   *tables.Follower
	Directory  *membership.Directory
	Fleet      *Fleet
	Metrics    *metrics.Set
	// Accepted is called with the new revision after an edit was accepted.
	Accepted func(table.Revision)
}

// Server serves the operators' HTTP interface.
type Server struct {
	*httpserver.Server
	Dependencies
}

// New starts a server on a listener.
func New(listener net.Listener, dependencies Dependencies) (*Server, error) {
	s := &Server{Dependencies: dependencies}
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
	app.Get("/metrics", s.serveMetrics)
	v1 := app.Party("/v1", s.authenticate)
	v1.Get("/tables", s.serveTables)
	v1.Put("/tables", s.servePut)
	v1.Post("/tables/check", s.serveCheck)
	v1.Get("/tables/history", s.serveHistory)
	v1.Get("/tables/force", s.serveRollout)
	v1.Get("/status", func(ctx iris.Context) { _ = ctx.JSON(s.Fleet.Status()) })
	v1.Get("/fleet", func(ctx iris.Context) { _ = ctx.JSON(s.Fleet.Collect(ctx.Request().Context())) })
	v1.Get("/timeline", func(ctx iris.Context) { _ = ctx.JSON(s.Fleet.Timeline(ctx.Request().Context())) })
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (s *Server) authenticate(ctx iris.Context) {
	wanted := "Bearer " + s.Credential
	if subtle.ConstantTimeCompare([]byte(ctx.GetHeader("Authorization")), []byte(wanted)) != 1 {
		reply(ctx, http.StatusUnauthorized, Problem{Error: "no valid operator credential"})
		ctx.StopExecution()
		return
	}
	ctx.Next()
}

func (s *Server) serveMetrics(ctx iris.Context) {
	s.Metrics.WritePrometheus(ctx.ResponseWriter())
	metrics.WriteProcessMetrics(ctx.ResponseWriter())
}

func (s *Server) serveTables(ctx iris.Context) {
	if err := s.Follower.Refresh(ctx.Request().Context()); err != nil {
		ctx.Header("Stale", "true")
	}
	current := s.Follower.Current()
	_ = ctx.JSON(Tables{
		Revision: current.Revision, Routes: current.Text(table.Routes), Pools: current.Text(table.Pools),
	})
}

func (s *Server) servePut(ctx iris.Context) {
	edit, warnings, ok := s.readChecked(ctx)
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx.Request().Context(), putTimeout)
	defer cancel()
	revision, err := s.Follower.Put(limited, edit.Revision, edit.EditID, edit.Routes, edit.Pools)
	if err != nil {
		replyError(ctx, err)
		return
	}
	s.Accepted(revision)
	_ = ctx.JSON(PutReply{Revision: revision, Warnings: warnings})
}

func (s *Server) serveCheck(ctx iris.Context) {
	edit, warnings, ok := s.readChecked(ctx)
	if !ok {
		return
	}
	_ = ctx.JSON(PutReply{Revision: edit.Revision, Warnings: warnings})
}

// readChecked reads and checks an edit. If the edit is invalid, readChecked replies with the reason and returns false.
func (s *Server) readChecked(ctx iris.Context) (edit Tables, warnings []string, ok bool) {
	edit, ok = readTables(ctx)
	if !ok {
		return edit, nil, false
	}
	warnings, problem := s.check(edit)
	if problem != nil {
		reply(ctx, http.StatusUnprocessableEntity, *problem)
		return edit, nil, false
	}
	return edit, warnings, true
}

// check parses an edit and compares its guarantees with the accelerators of the listed endpoints. It returns warnings,
// or the problem for which the edit is rejected.
func (s *Server) check(edit Tables) (warnings []string, problem *Problem) {
	parsed, err := table.Parse(edit.Revision+1, edit.Routes, edit.Pools)
	if err != nil {
		return nil, mistakesOf(err)
	}
	endpoints := s.Directory.Endpoints()
	if len(endpoints) == 0 {
		return []string{"the platform's list is not known, so guarantees were not compared with the hardware"}, nil
	}
	if unknown := unknownDomains(parsed, endpoints); len(unknown) > 0 {
		return nil, &Problem{Error: "unknown failure domains", Mistakes: unknown}
	}
	refused, warnings := splitShortages(scheduler.FindShortages(parsed, endpoints))
	if len(refused) > 0 && !s.alreadyShort(refused, endpoints) {
		return nil, &Problem{Error: "the guarantees exceed the hardware", Mistakes: refused}
	}
	return append(refused, warnings...), nil
}

// alreadyShort reports whether the accepted tables already have all the given shortages (guarantees that the hardware
// cannot meet). If they do, the edit adds no shortage and is not rejected for these shortages.
func (s *Server) alreadyShort(refused []string, endpoints []endpoint.Endpoint) bool {
	known := map[string]bool{}
	before, _ := splitShortages(scheduler.FindShortages(s.Follower.Current(), endpoints))
	for _, shortage := range before {
		known[shortage] = true
	}
	for _, shortage := range refused {
		if !known[shortage] {
			return false
		}
	}
	return true
}

// unknownDomains returns a mistake for each failure domain in the tables that has no listed endpoint.
func unknownDomains(parsed *table.Tables, endpoints []endpoint.Endpoint) []string {
	var unknown []string
	for _, p := range parsed.AllPools() {
		for _, name := range p.FailureDomains {
			known := false
			for _, e := range endpoints {
				known = known || e.FailureDomain == name
			}
			if !known {
				unknown = append(unknown, "Pools [Pool."+string(p.Name)+"] FailureDomains: no endpoint is in "+string(name))
			}
		}
	}
	return unknown
}

func (s *Server) serveHistory(ctx iris.Context) {
	history, err := s.Follower.History(ctx.Request().Context())
	if err != nil {
		replyError(ctx, err)
		return
	}
	var edits HistoryReply
	for _, edit := range history {
		edits.Edits = append(edits.Edits, HistoryEdit{
			Revision: edit.Base + 1, ID: edit.ID, Changes: edit.RowChanges(),
		})
	}
	_ = ctx.JSON(edits)
}

func (s *Server) serveRollout(ctx iris.Context) {
	revision, err := strconv.ParseUint(ctx.URLParam("revision"), 10, 64)
	if err != nil {
		reply(ctx, http.StatusBadRequest, Problem{Error: "revision is not a number"})
		return
	}
	_ = ctx.JSON(s.Fleet.Rollout(ctx.Request().Context(), table.Revision(revision)))
}

func readTables(ctx iris.Context) (Tables, bool) {
	var edit Tables
	body := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBody)
	if err := json.NewDecoder(body).Decode(&edit); err != nil {
		reply(ctx, http.StatusBadRequest, Problem{Error: err.Error()})
		return edit, false
	}
	return edit, true
}

// mistakesOf converts an error of the parser of the tables to a reply.
func mistakesOf(err error) *Problem {
	problem := &Problem{Error: "the tables have mistakes"}
	var mistakes document.Mistakes
	if errors.As(err, &mistakes) {
		for _, mistake := range mistakes {
			problem.Mistakes = append(problem.Mistakes, mistake.String())
		}
	}
	return problem
}

// replyError replies with the HTTP status and the problem for an error of the tables package.
func replyError(ctx iris.Context, err error) {
	var conflict *tables.ConflictError
	switch {
	case errors.As(err, &conflict):
		reply(ctx, http.StatusConflict, Problem{Error: err.Error(), Revision: conflict.Revision, Changes: conflict.Changes})
	case errors.Is(err, tables.ErrUnknownEffect):
		reply(ctx, http.StatusBadGateway, Problem{Error: err.Error()})
	default:
		reply(ctx, http.StatusServiceUnavailable, Problem{Error: err.Error()})
	}
}

func reply(ctx iris.Context, status int, body Problem) {
	ctx.StatusCode(status)
	_ = ctx.JSON(body)
}
