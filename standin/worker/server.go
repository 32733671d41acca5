package worker

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/io/endpoint"
)

// Paths of the control interface, through which tests and demos read the journal and set failures.
const (
	PathJournal = "/control/journal"
	PathFailing = "/control/failing"
)

// NewHandler returns the HTTP interface of a worker, including the control paths.
func NewHandler(engine *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathRun, engine.serveRun)
	handle(mux, endpoint.PathReserve, func(r *http.Request, m endpoint.Reserve) (any, error) {
		return nil, engine.Reserve(r.Context(), m)
	})
	handle(mux, endpoint.PathStart, func(r *http.Request, m endpoint.Start) (any, error) {
		return nil, engine.Start(r.Context(), m)
	})
	handle(mux, endpoint.PathExchange, func(r *http.Request, m endpoint.Exchange) (any, error) {
		return engine.Exchange(r.Context(), m)
	})
	handle(mux, endpoint.PathStop, func(r *http.Request, m endpoint.Stop) (any, error) {
		return engine.Stop(r.Context(), m)
	})
	mux.HandleFunc("GET "+PathJournal, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(engine.Journal())
	})
	handle(mux, PathFailing, func(_ *http.Request, failing bool) (any, error) {
		engine.SetFailing(failing)
		return nil, nil
	})
	return mux
}

// serveRun answers a request. If the body does not match its digest, serveRun rejects the request and marks it as not
// run.
func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, request.MaxBody+1))
	if err != nil || endpoint.Digest(body) != r.Header.Get(endpoint.HeaderDigest) {
		w.Header().Set(endpoint.HeaderNotRun, "true")
		http.Error(w, "incomplete request", http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(endpoint.HeaderAttempt)
	w.Header().Set(endpoint.HeaderAttempt, attempt)
	reply, err := e.Run(r.Context(), endpoint.Run{
		Attempt: request.AttemptID(attempt),
		Request: request.ID(r.Header.Get(endpoint.HeaderRequest)),
		Kind:    route.Kind(r.Header.Get(endpoint.HeaderKind)),
		Body:    body,
	})
	switch {
	case err == nil:
		w.Header().Set(endpoint.HeaderDigest, endpoint.Digest(reply.Body))
		w.Header().Set(endpoint.HeaderBusy, strconv.Itoa(reply.Busy))
		_, _ = w.Write(reply.Body)
	case errors.Is(err, endpoint.ErrRefused):
		w.Header().Set(endpoint.HeaderNotRun, "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// handle registers a POST handler that decodes a JSON message and encodes the reply, if there is one.
func handle[Message any](mux *http.ServeMux, path string, serve func(*http.Request, Message) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var message Message
		if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := serve(r, message)
		if err != nil {
			http.Error(w, err.Error(), endpoint.ErrorStatus(err))
			return
		}
		if reply != nil {
			_ = json.NewEncoder(w).Encode(reply)
		}
	})
}
