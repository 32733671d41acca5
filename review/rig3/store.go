package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes are the largest number of items in one page of a range, and of bytes in their values.
	pageItems = 500
	pageBytes = 1 << 20
	// maxWatchWait is the longest time for which a watch waits.
	maxWatchWait = 30 * time.Second
	// writesPerSecond is the number of writing calls that the store takes from all VMs together.
	writesPerSecond = 400
	// expiryInterval is the time between two checks for leases that have ended.
	expiryInterval = 20 * time.Millisecond
)

// item is a key of the store with its value, as it is sent to clients. Deleted is set in events only.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a linearizable key-value store in memory that speaks the platform's protocol.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	// lost is the share of the changes that are carried out and not answered.
	lost float64
	// second and writes count the writing calls of the current second.
	second time.Time
	writes int
	// leaseIDs is the number of leases granted so far.
	leaseIDs int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// newStore returns an empty store.
func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// expireLeases removes the keys of leases that have ended, until the process ends.
func (s *store) expireLeases() {
	for {
		time.Sleep(expiryInterval)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease removes a lease and its keys. The caller holds the lock.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.LeaseID == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key at the current revision. The caller holds the lock and has raised the revision.
func (s *store) put(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, LeaseID: leaseID}
	if earlier, found := s.items[key]; found {
		i.Created = earlier.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

// remove removes a key at the current revision. The caller holds the lock and has raised the revision.
func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// Put writes a key for the operators or the workers. A ttl above 0 removes the key unless it is written again in time.
func (s *store) Put(key string, value []byte, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var id int64
	if ttl > 0 {
		if earlier, found := s.items[key]; found && s.leases[earlier.LeaseID] != nil {
			id = earlier.LeaseID
		} else {
			s.leaseIDs++
			id = s.leaseIDs
		}
		s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	}
	s.put(key, value, id)
	s.notify()
}

// Remove removes a key for the operators or the workers.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Handler returns the HTTP handler of the store.
func (s *store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return mux
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	n, bytes := 0, 0
	for n < min(len(page), pageItems) && (n == 0 || bytes+len(page[n].Value) <= pageBytes) {
		bytes += len(page[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": page[:n], "hasMore": n < len(page), "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		events, at, changed := s.eventsAfter(query.Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		}
	}
}

// eventsAfter returns the events of a prefix after a revision, the current revision, and the signal of the next change.
func (s *store) eventsAfter(prefix string, after int64) ([]item, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []item
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

// transaction is the body of a conditional change.
type transaction struct {
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

// reserved reports whether a key belongs to the operators or the workers.
func reserved(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// refuses counts a writing call, and answers it with 429 if there are too many. The caller holds the lock.
func (s *store) refuses(w http.ResponseWriter) bool {
	if now := time.Now().Truncate(time.Second); now != s.second {
		s.second, s.writes = now, 0
	}
	s.writes++
	if s.writes > writesPerSecond {
		w.WriteHeader(http.StatusTooManyRequests)
	}
	return s.writes > writesPerSecond
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if !readJSON(w, r, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	for _, p := range t.Puts {
		if reserved(p.Key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	conflict, current := false, []item{}
	for _, c := range t.ExpectedRev {
		i, found := s.items[c.Key]
		if found {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != c.Revision
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	if s.lost > 0 && rand.Float64() < s.lost {
		s.leaveUnanswered(r)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// leaveUnanswered keeps a call without an answer until its client gives it up. The caller holds the lock.
func (s *store) leaveUnanswered(r *http.Request) {
	s.mu.Unlock()
	<-r.Context().Done()
	s.mu.Lock()
	panic(http.ErrAbortHandler)
}

// LoseAnswers sets the share of the changes that are carried out and not answered.
func (s *store) LoseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var message struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if !readJSON(w, r, &message) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	s.leaseIDs++
	ttl := time.Duration(message.TTLMs) * time.Millisecond
	s.leases[s.leaseIDs] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"leaseId": s.leaseIDs, "ttlMs": message.TTLMs})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// readJSON decodes the body of a request. If that fails, it answers with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, message any) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, message)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeJSON answers with a status and a JSON body. A client that has gone away gets nothing.
func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
