package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, as the store encodes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created-at"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type leaseState struct {
	ttl time.Duration
	end time.Time
}

// platform stands for the platform: its metadata store and its failover call.
type platform struct {
	mu       sync.Mutex
	items    map[string]item
	leases   map[int64]*leaseState
	events   []item
	revision int64
	lease    int64
	changed  chan struct{}
	address  string
	groups   map[string]*group
	token    map[string]uint64
	// late, if set, is asked for each failover call; a call that it delays gets no answer.
	late func(id string) (time.Duration, bool)
}

func startPlatform() *platform {
	p := &platform{
		items: map[string]item{}, leases: map[int64]*leaseState{}, revision: 100, lease: 1000,
		changed: make(chan struct{}), groups: map[string]*group{}, token: map[string]uint64{},
	}
	l := listen()
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chervilhatch/kv-key", p.get)
	mux.HandleFunc("GET /chervilhatch/kv-range", p.list)
	mux.HandleFunc("GET /chervilhatch/kv-watch", p.watch)
	mux.HandleFunc("POST /chervilhatch/kv-txn", p.txn)
	mux.HandleFunc("POST /chervilhatch/kv-lease", p.grant)
	mux.HandleFunc("POST /chervilhatch/kv-keep/{id}", p.keep)
	mux.HandleFunc("DELETE /chervilhatch/kv-lease-end/{id}", p.end)
	mux.HandleFunc("POST /failover", p.failover)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		time.Sleep(2 * time.Millisecond)
		mux.ServeHTTP(w, r)
	}))
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			p.expire()
		}
	}()
	return p
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// put writes a key as the operator or a backend does, and returns when the write was confirmed.
func (p *platform) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	must(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.write(key, data, 0)
	p.notify()
	return time.Now()
}

func (p *platform) remove(key string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.drop(key)
	p.notify()
	return time.Now()
}

func (p *platform) write(key string, value []byte, lease int64) {
	created := p.revision
	if old, found := p.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: p.revision, Created: created, Lease: lease}
	p.items[key] = i
	p.events = append(p.events, i)
}

func (p *platform) drop(key string) {
	if _, found := p.items[key]; found {
		delete(p.items, key)
		p.events = append(p.events, item{Key: key, Revision: p.revision, Deleted: true})
	}
}

func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.leases {
		if time.Now().After(l.end) {
			p.endLease(id)
		}
	}
}

func (p *platform) endLease(id int64) {
	delete(p.leases, id)
	dropped := false
	for key, i := range p.items {
		if i.Lease == id {
			if !dropped {
				p.revision++
			}
			dropped = true
			p.drop(key)
		}
	}
	if dropped {
		p.notify()
	}
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, found := p.items[r.URL.Query().Get("key")]
	if !found {
		answer(w, 404, map[string]int64{"store-revision": p.revision})
		return
	}
	answer(w, 200, struct {
		item
		Store int64 `json:"store-revision"`
	}{i, p.revision})
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	found := []item{}
	for key, i := range p.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	answer(w, 200, map[string]any{"items": found, "has-more": false, "store-revision": p.revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		p.mu.Lock()
		found := []item{}
		for _, e := range p.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		revision, changed := p.revision, p.changed
		p.mu.Unlock()
		if len(found) > 0 || last {
			answer(w, 200, map[string]any{"events": found, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, 400, nil)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, failed := []item{}, false
	for _, c := range body.Precondition {
		i, found := p.items[c.Key]
		failed = failed || i.Revision != c.Revision
		if found {
			current = append(current, i)
		}
	}
	if failed {
		answer(w, 412, map[string]any{"items": current, "store-revision": p.revision})
		return
	}
	for _, put := range body.Puts {
		if put.Lease != 0 && p.leases[put.Lease] == nil {
			answer(w, 404, nil)
			return
		}
	}
	p.revision++
	for _, put := range body.Puts {
		p.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Deletes {
		p.drop(key)
	}
	p.notify()
	answer(w, 200, map[string]int64{"revision": p.revision})
}

func (p *platform) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	json.NewDecoder(r.Body).Decode(&body)
	ttl := max(time.Duration(body.TTL)*time.Millisecond, time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease++
	p.leases[p.lease] = &leaseState{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, 200, map[string]int64{"lease": p.lease, "ttl-ms": ttl.Milliseconds()})
}

func (p *platform) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		answer(w, 404, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, 200, map[string]int64{"ttl-ms": l.ttl.Milliseconds()})
}

func (p *platform) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases[id] == nil {
		answer(w, 404, nil)
		return
	}
	p.endLease(id)
	answer(w, 200, map[string]string{})
}

func (p *platform) failover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service-name"`
		ID      string `json:"id"`
	}
	json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	p.mu.Lock()
	late := p.late
	p.mu.Unlock()
	if late != nil {
		if delay, is := late(body.ID); is {
			note("platform", fmt.Sprintf("failover of %s to %s, token %d: no answer, carried out %s later", body.Service, body.ID, token, delay))
			time.AfterFunc(delay, func() {
				note("platform", fmt.Sprintf("late failover to %s, token %d: %d", body.ID, token, p.carryOut(body.Service, body.ID, token)))
			})
			<-r.Context().Done()
			return
		}
	}
	status := p.carryOut(body.Service, body.ID, token)
	note("platform", fmt.Sprintf("failover of %s to %s by %s, token %d: %d", body.Service, body.ID, r.Header.Get("X-Lease-Holder"), token, status))
	answer(w, status, map[string]string{})
}

// carryOut checks the fence of a failover call and carries it out.
func (p *platform) carryOut(service, id string, token uint64) int {
	p.mu.Lock()
	g, fenced := p.groups[service], token < p.token[service]
	if !fenced {
		p.token[service] = token
	}
	p.mu.Unlock()
	if g == nil || fenced || !g.promote(id) {
		return 409
	}
	return 200
}
