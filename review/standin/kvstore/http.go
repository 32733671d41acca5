package kvstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxPageItems and maxPageBytes limit one page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// maxValueBytes is the largest value, as the settings name it.
	maxValueBytes = 1 << 20
)

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /kv-lease", s.serveGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			silence(r)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// silence waits until the caller has given up, and closes the connection without an answer.
func silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	item, found := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !found {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items, at := s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	s.mu.Unlock()
	size, count := 0, 0
	for _, item := range items {
		size += len(item.Value)
		if count == maxPageItems || count > 0 && size > maxPageBytes {
			break
		}
		count++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:count], "hasMore": count < len(items), "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		down, events, at, changed := s.down, s.eventsAfter(query.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if down {
			silence(r)
		}
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.checkSizes(&t) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.delay != nil {
		if delay := s.delay(&t); delay > 0 {
			s.mu.Unlock()
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.commit(&t)
			})
			silence(r)
		}
	}
	revision, conflict := s.commit(&t)
	s.mu.Unlock()
	switch {
	case revision > 0:
		reply(w, http.StatusOK, map[string]any{"revision": revision})
	case conflict != nil:
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": conflict})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var message struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(message.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"leaseId": id, "ttlMs": message.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.expire()
	l, alive := s.leases[id]
	if alive {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !alive {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.expire()
	_, alive := s.leases[id]
	if alive {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !alive {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
