package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the metadata store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created-at,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// platform is a stand-in of the users' platform: the metadata store and the promotion
// call, on one address.
type platform struct {
	mu        sync.Mutex
	items     map[string]item
	events    []item
	leases    map[int64]lease
	revision  int64
	nextLease int64
	changed   chan struct{}
	address   string
	// promote executes POST /failover and returns the HTTP status.
	promote func(service, id string, token uint64) int
	// intercept may take over a call before it is executed; it returns true if it has
	// handled it.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

// storeLatency is how long the store takes to answer.
const storeLatency = 4 * time.Millisecond

func newPlatform() (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		items: map[string]item{}, leases: map[int64]lease{}, revision: 40, nextLease: 7,
		changed: make(chan struct{}), address: l.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chervilhatch/kv-key", p.get)
	mux.HandleFunc("GET /chervilhatch/kv-range", p.list)
	mux.HandleFunc("GET /chervilhatch/kv-watch", p.watch)
	mux.HandleFunc("POST /chervilhatch/kv-txn", p.txn)
	mux.HandleFunc("POST /chervilhatch/kv-lease", p.grant)
	mux.HandleFunc("POST /chervilhatch/kv-keep/{id}", p.keep)
	mux.HandleFunc("DELETE /chervilhatch/kv-lease-end/{id}", p.endCall)
	mux.HandleFunc("POST /failover", p.failover)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "3")
		time.Sleep(storeLatency)
		if p.intercept != nil && p.intercept(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, handler) }()
	return p, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes a key on behalf of the operator or a backend.
func (p *platform) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(key, raw, 0)
	p.notify()
}

// remove deletes a key on behalf of the operator or a backend.
func (p *platform) remove(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unset(key)
	p.notify()
}

func (p *platform) set(key string, value []byte, leaseID int64) {
	p.revision++
	created := p.revision
	if old, found := p.items[key]; found {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: value, Revision: p.revision, CreatedAt: created, Lease: leaseID}
	p.items[key] = i
	p.events = append(p.events, i)
}

func (p *platform) unset(key string) {
	if _, found := p.items[key]; !found {
		return
	}
	p.revision++
	delete(p.items, key)
	p.events = append(p.events, item{Key: key, Revision: p.revision, Deleted: true})
}

func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) endLease(id int64) {
	delete(p.leases, id)
	for key, i := range p.items {
		if i.Lease == id {
			p.unset(key)
		}
	}
	p.notify()
}

func (p *platform) expire() {
	now := time.Now()
	for id, l := range p.leases {
		if now.After(l.end) {
			p.endLease(id)
		}
	}
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.expire()
	i, found := p.items[r.URL.Query().Get("key")]
	p.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	p.expire()
	items := []item{}
	for key, i := range p.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := p.revision
	p.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "store-revision": revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		p.mu.Lock()
		p.expire()
		events := []item{}
		for _, e := range p.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := p.changed, p.revision
		p.mu.Unlock()
		if ended || len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// txnBody is the body of a conditional change.
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

func (p *platform) txn(w http.ResponseWriter, r *http.Request) {
	var t txnBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := p.apply(&t)
	writeJSON(w, status, body)
}

// apply executes a conditional change and returns the HTTP status and body.
func (p *platform) apply(t *txnBody) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	current, holds := []item{}, true
	for _, c := range t.Precondition {
		i, found := p.items[c.Key]
		if found {
			current = append(current, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range t.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
		if _, found := p.leases[put.Lease]; put.Lease != 0 && !found {
			return http.StatusNotFound, map[string]any{}
		}
	}
	for _, put := range t.Puts {
		p.set(put.Key, put.Value, put.Lease)
	}
	for _, key := range t.Deletes {
		p.unset(key)
	}
	p.notify()
	return http.StatusOK, map[string]any{"revision": p.revision}
}

func (p *platform) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLease++
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	p.leases[p.nextLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": p.nextLease, "ttl-ms": ttl.Milliseconds()})
}

func (p *platform) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	l, found := p.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	p.leases[id] = l
	writeJSON(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (p *platform) endCall(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (p *platform) failover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service-name"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusConflict
	if p.promote != nil {
		status = p.promote(body.Service, body.ID, token)
	}
	writeJSON(w, status, map[string]any{})
}
