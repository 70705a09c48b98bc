// Package metastore is a stand-in for the users' platform: its metadata store
// with leases and watches, and its promotion call, both over HTTP. Tests can
// inject faults.
package metastore

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Item is a key with its value, or the deletion of a key in a watch.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created-at,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Store is the metadata store.
type Store struct {
	mu     sync.Mutex
	items  map[string]Item
	leases map[int64]lease
	// events has the changes after compactedRevision in ascending order.
	events   []Item
	revision int64
	// compactedRevision is the revision up to which events were discarded. A
	// watch from an earlier one fails with 410.
	compactedRevision int64
	// nextLease is the id of the newest lease.
	nextLease int64
	// era rises by one each time the store comes back from a copy.
	era atomic.Int64
	// changed is closed and replaced when watches have to look for events.
	changed chan struct{}

	// Down makes all calls fail with 503.
	Down atomic.Bool
	// LoseAnswers is how many of the next successful transactions are applied
	// and get no response.
	LoseAnswers atomic.Int32
	calls       atomic.Int64

	// Promote executes the promotion call and reports whether it succeeded.
	Promote func(service, id string, token uint64) bool
	// Usage takes the reports of usage.
	Usage Usage
	// LatePromotions is how many of the next promotion calls get no response and are executed
	// LatePromotionDelay later.
	LatePromotions atomic.Int32
	// Late decides, if it is not nil, whether a promotion call gets no response and is executed
	// later, and by how much.
	Late func(service, id string) (time.Duration, bool)

	listener net.Listener
	server   *http.Server
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// LatePromotionDelay is longer than VMs wait before they give a promotion call up, so that
// newer calls are executed first.
const LatePromotionDelay = 5 * time.Second

// pageSize is the maximum number of items in one response.
const pageSize = 500

// New starts a store on a free port of the loopback interface.
func New() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		items: map[string]Item{}, leases: map[int64]lease{}, revision: 1, nextLease: 100,
		changed: make(chan struct{}), listener: l,
	}
	s.era.Store(1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chervilhatch/kv-key", s.get)
	mux.HandleFunc("GET /chervilhatch/kv-range", s.list)
	mux.HandleFunc("GET /chervilhatch/kv-watch", s.watch)
	mux.HandleFunc("POST /chervilhatch/kv-txn", s.txn)
	mux.HandleFunc("POST /chervilhatch/kv-lease", s.grant)
	mux.HandleFunc("POST /chervilhatch/kv-keep/{id}", s.keepAlive)
	mux.HandleFunc("DELETE /chervilhatch/kv-lease-end/{id}", s.revoke)
	mux.HandleFunc("POST /failover", s.failover)
	mux.HandleFunc("POST /usage", s.Usage.serve)
	s.server = &http.Server{Handler: s.injectFaults(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the address of the listener as host:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Calls returns the number of HTTP requests so far, including failed ones.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Close closes the listener and all connections.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a key on behalf of an operator or an upstream. Unlike a
// transaction, it may write keys under op/ and servers/.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	s.notifyWatchers()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.notifyWatchers()
}

// CompactHistory discards all events, so that watches from earlier revisions
// fail.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// ExpireLeases ends all leases and deletes their keys, as an outage of the
// store may.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.notifyWatchers()
}

// put writes a key in a new revision. The caller holds mu.
func (s *Store) put(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.CreatedAt
	}
	i := Item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: leaseID}
	s.items[key] = i
	s.events = append(s.events, i)
}

// remove deletes a key, if it exists, in a new revision. The caller holds mu.
func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Deleted: true})
}

// endLease deletes a lease and its keys. The caller holds mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// expire ends the leases whose time to live has passed. The caller holds mu.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
			s.notifyWatchers()
		}
	}
}

// notifyWatchers wakes the waiting watches. The caller holds mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// headerEra names the era of the store in each response.
const headerEra = "Store-Era"

// eraWriter adds headerEra to a response, with the era at the time of the response.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

func (w eraWriter) WriteHeader(status int) {
	w.Header().Set(headerEra, strconv.FormatInt(w.store.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// injectFaults counts the calls, and refuses them while Down is set.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = eraWriter{ResponseWriter: w, store: s}
		s.calls.Add(1)
		if s.Down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.expire()
	items := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				ended = true
			}
		}
		if ended || len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

// txnBody is the request body of a transaction: changes that are made if each
// key of the precondition has the given revision.
type txnBody struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t txnBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.expire()
	status, body := s.apply(&t)
	s.mu.Unlock()
	if status == http.StatusOK && s.LoseAnswers.Load() > 0 && s.LoseAnswers.Add(-1) >= 0 {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, body)
}

// apply executes a transaction and returns the HTTP status and response body.
// Puts under op/ and servers/ are refused with 403, since only operators and
// upstreams write there. The caller holds mu.
func (s *Store) apply(t *txnBody) (int, any) {
	current := []Item{}
	satisfied := true
	for _, p := range t.Precondition {
		i, found := s.items[p.Key]
		if found {
			current = append(current, i)
		}
		satisfied = satisfied && i.Revision == p.Revision
	}
	if !satisfied {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return http.StatusNotFound, map[string]any{}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notifyWatchers()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextLease] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl-ms": body.TTL})
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, found := s.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	s.notifyWatchers()
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Store) failover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service-name"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || r.Header.Get("X-Lease-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if delay, late := s.latePromotion(body.Service, body.ID); late {
		time.AfterFunc(delay, func() { s.Promote(body.Service, body.ID, token) })
		<-r.Context().Done()
		return
	}
	if s.Promote == nil || !s.Promote(body.Service, body.ID, token) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// latePromotion decides whether a promotion call that arrives now is executed later.
func (s *Store) latePromotion(service, id string) (time.Duration, bool) {
	if s.LatePromotions.Load() > 0 && s.LatePromotions.Add(-1) >= 0 {
		return LatePromotionDelay, true
	}
	if s.Late == nil {
		return 0, false
	}
	return s.Late(service, id)
}
