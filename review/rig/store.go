package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change to one. Value is encoded as base64 text.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store. Its keys are removed when it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store, with linearizable answers and without any fault.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	closed   chan struct{}
	done     sync.WaitGroup
}

// leaseCheckInterval is the interval at which ended leases are looked for.
const leaseCheckInterval = 20 * time.Millisecond

func newStore() *store {
	s := &store{
		revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		closed: make(chan struct{}),
	}
	s.done.Go(s.expireLeases)
	return s
}

// Close stops the expiry of leases and waits until it has stopped.
func (s *store) Close() {
	close(s.closed)
	s.done.Wait()
}

func (s *store) expireLeases() {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(leaseCheckInterval):
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller must hold the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.LeaseID == id {
			s.revision++
			s.remove(key)
		}
	}
}

// put writes a key at the current revision. The caller must hold the lock.
func (s *store) put(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, LeaseID: lease}
	s.items[key] = i
	s.record(i)
}

// remove removes a key at the current revision. The caller must hold the lock.
func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a worker does, and returns its revision.
func (s *store) Put(key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, text, 0)
	return s.revision
}

// Remove removes a key as the operator or a worker does.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// pageItems is the largest number of items on one page of a range.
const pageItems = 500

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		i, found := s.items[query.Get("key")]
		if !found {
			reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			At int64 `json:"at"`
		}{i, s.revision})
	case r.URL.Path == "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMs < 1000 {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		s.revision++
		ttl := time.Duration(body.TTLMs) * time.Millisecond
		s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]int64{"leaseId": s.revision, "ttlMs": body.TTLMs})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		l := s.leases[leaseID(r.URL.Path)]
		if l == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id := leaseID(r.URL.Path)
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		s.endLease(id)
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func leaseID(path string) int64 {
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	return id
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "at": s.revision})
}

// serveWatch waits for a change under the prefix. It gives up the lock while it waits.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Puts []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID int64  `json:"leaseId"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	conflict := false
	current := []item{}
	for _, c := range t.ExpectedRev {
		i, found := s.items[c.Key]
		conflict = conflict || i.Revision != c.Revision
		if found {
			current = append(current, i)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}
