package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one entry of a group's log.
type commit struct {
	term uint64
	ids  []string
}

// arrival is a statement that reached a backend, with what the judge needs.
type arrival struct {
	at              time.Time
	backend, zone   string
	id, text, who   string
	inTx, ran, cold bool
}

// group is a service: one primary and its replicas.
type group struct {
	service  string
	maxConns int
	slots    int
	initial  int
	work     time.Duration
	lag      time.Duration
	platform *platform

	mu       sync.Mutex
	term     uint64
	primary  string
	log      []commit
	servers  map[string]*backend
	arrivals []arrival
	// runs counts the effects of each write by its id.
	runs map[string]int
}

// backend is one database server of a group.
type backend struct {
	g        *group
	id, zone string
	address  string
	listener net.Listener
	slots    chan struct{}

	// The rest is guarded by g.mu.
	born      int64
	sequence  int64
	received  int
	applyAt   []time.Time
	fenced    uint64
	conns     map[net.Conn]bool
	down      bool
	warmUntil time.Time
	// first is true before the first start; led is true once the backend has been the primary. deaf is
	// true while it receives nothing.
	first, led, deaf bool
	// rowCount and rowBytes are the size of the answer to a read; 0 is one short row.
	rowCount, rowBytes int
}

func newGroup(p *platform, service string) *group {
	g := &group{service: service, maxConns: 50, slots: 3, work: 6 * time.Millisecond, lag: 20 * time.Millisecond, platform: p, term: 1, servers: map[string]*backend{}, runs: map[string]int{}, log: make([]commit, 10), initial: 10}
	for i := range g.log {
		g.log[i].term = 1
	}
	p.groups[service] = g
	return g
}

// add starts a backend; the first one is the primary.
func (g *group) add(id, zone string) *backend {
	l := listen()
	b := &backend{g: g, id: id, zone: zone, address: l.Addr().String(), first: true}
	g.mu.Lock()
	if g.primary == "" {
		g.primary, b.led = id, true
	}
	g.servers[id] = b
	g.mu.Unlock()
	b.start(l)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			g.mu.Lock()
			if g.primary != b.id {
				g.catchUp(b)
			}
			g.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			b.beat()
		}
	}()
	return b
}

// start serves; the backend holds and knows nothing of before.
func (b *backend) start(l net.Listener) {
	g := b.g
	g.mu.Lock()
	b.listener, b.conns, b.down, b.born, b.sequence, b.fenced = l, map[net.Conn]bool{}, false, time.Now().UnixMilli(), 0, 0
	b.slots = make(chan struct{}, g.slots)
	switch p := g.servers[g.primary]; {
	case b.id == g.primary || b.first:
		// A primary that crashed has its log; the log of a new group is on all of its backends.
		b.received, b.applyAt, b.first = min(max(b.received, g.initial), len(g.log)), make([]time.Time, len(g.log)), false
	case b.led:
		b.received = min(b.received, len(g.log))
	default:
		b.received, b.applyAt = 0, nil
		if p != nil && !p.down {
			g.catchUp(b)
		}
	}
	g.mu.Unlock()
	b.beat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

// crash ends a backend as a kill does: its connections are reset.
func (b *backend) crash() {
	b.g.mu.Lock()
	b.down = true
	conns := b.conns
	b.conns = map[net.Conn]bool{}
	b.g.mu.Unlock()
	note("backend "+b.id, "crashes")
	b.listener.Close()
	for c := range conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// restart starts a crashed backend again at its address, cold for the given time.
func (b *backend) restart(cold time.Duration) {
	l, err := net.Listen("tcp", b.address)
	must(err)
	b.g.mu.Lock()
	b.warmUntil = time.Now().Add(cold)
	b.g.mu.Unlock()
	note("backend "+b.id, fmt.Sprintf("starts again, cold for %s", cold))
	b.start(l)
}

// beat writes the entry of the backend to the store.
func (b *backend) beat() {
	g := b.g
	g.mu.Lock()
	if b.down {
		g.mu.Unlock()
		return
	}
	b.sequence++
	role := "replica"
	if g.primary == b.id {
		role = "primary"
	}
	entry := map[string]any{
		"service-name": g.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": g.slots, "phase": "ready",
		"warmup-left-ms": max(time.Until(b.warmUntil).Milliseconds(), 0), "db-role": role, "sequence": b.sequence, "born": b.born,
	}
	g.mu.Unlock()
	g.platform.put("servers/"+b.id, entry)
}

// promote makes a replica the primary of the next term after a moment.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	b := g.servers[id]
	ok := b != nil && !b.down
	present := g.primary == id
	g.mu.Unlock()
	if !ok || present {
		return ok
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		g.mu.Lock()
		if g.primary == id || b.down {
			g.mu.Unlock()
			return
		}
		g.term++
		b.led = true
		g.primary, g.log, b.fenced = id, g.log[:b.received], 0
		for _, other := range g.servers {
			other.received = min(other.received, len(g.log))
			other.fenced = 0
			g.catchUp(other)
		}
		g.mu.Unlock()
		note("group", "primary is "+id)
		for _, other := range g.servers {
			other.beat()
		}
	}()
	return true
}

// catchUp gives a replica what it lacks of the log. The caller holds mu.
func (g *group) catchUp(b *backend) {
	if p := g.servers[g.primary]; p == nil || p.down || b.down || b.deaf || b.fenced > g.term {
		return
	}
	b.received = len(g.log)
	b.applyAt = b.applyAt[:min(len(b.applyAt), b.received)]
	for len(b.applyAt) < b.received {
		b.applyAt = append(b.applyAt, time.Now().Add(g.lag))
	}
}

// applied returns how much of its log a backend's reads see. The caller holds mu.
func (b *backend) applied() int {
	if b.g.primary == b.id {
		return len(b.g.log)
	}
	n := 0
	for n < b.received && !b.applyAt[n].After(time.Now()) {
		n++
	}
	return n
}

func (g *group) position(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", g.log[n-1].term, n)
}

type backendSession struct {
	b              *backend
	who            string
	inTx, readOnly bool
	failed         bool
	term           uint64
	writes         []string
	prepared       map[string]string
}

func (b *backend) serve(raw net.Conn) {
	g := b.g
	defer raw.Close()
	r := bufio.NewReaderSize(raw, 64<<10)
	line, err := readLine(r)
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	g.mu.Lock()
	switch {
	case f[1] != g.service || len(f) > 3 && f[3] != b.id:
		g.mu.Unlock()
		fmt.Fprintf(raw, "ERROR MISROUTED %s\r\n", b.id)
		return
	case len(b.conns) >= g.maxConns:
		g.mu.Unlock()
		fmt.Fprintf(raw, "ERROR TOOMANY limit\r\n")
		return
	case b.down:
		g.mu.Unlock()
		return
	}
	b.conns[raw] = true
	ready := g.position(b.applied())
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(b.conns, raw)
		g.mu.Unlock()
	}()
	b.slots <- struct{}{}
	time.Sleep(12 * time.Millisecond)
	<-b.slots
	s := &backendSession{b: b, who: f[2], prepared: map[string]string{}}
	fmt.Fprintf(raw, "READY I %s\r\n", ready)
	for {
		line, err := readLine(r)
		if err != nil || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		id, text, _ := strings.Cut(line[len("QUERY "):], " ")
		a := arrival{at: time.Now(), backend: b.id, zone: b.zone, id: id, text: text, who: s.who, inTx: s.inTx}
		g.mu.Lock()
		a.cold = time.Now().Before(b.warmUntil)
		g.mu.Unlock()
		rows, result := s.run(id, text)
		a.ran = strings.HasPrefix(result, "COMPLETE")
		if id != "-" {
			g.mu.Lock()
			g.arrivals = append(g.arrivals, a)
			g.mu.Unlock()
			noteAt(a.at, "backend "+b.id, fmt.Sprintf("%s %s -> %.60s", id, clip(text), result))
		}
		g.mu.Lock()
		state := "I"
		if s.failed {
			state = "E"
		} else if s.inTx {
			state = "T"
		}
		tail := fmt.Sprintf("%s\r\nREADY %s %s\r\n", result, state, g.position(b.applied()))
		g.mu.Unlock()
		w := bufio.NewWriter(raw)
		for _, row := range rows {
			w.WriteString("ROW " + row + "\r\n")
		}
		w.WriteString(tail)
		if w.Flush() != nil {
			return
		}
	}
}

func clip(text string) string {
	if len(text) > 60 {
		return fmt.Sprintf("%s.. (%d bytes)", text[:40], len(text))
	}
	return text
}

// occupy holds a slot for the duration of a statement.
func (s *backendSession) occupy() {
	s.b.slots <- struct{}{}
	time.Sleep(s.b.g.work)
	<-s.b.slots
}

func (s *backendSession) run(id, text string) ([]string, string) {
	g, b := s.b.g, s.b
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return b.control(word, rest)
	case "RESET":
		clear(s.prepared)
		return nil, "COMPLETE -"
	case "SET", "DEALLOCATE":
		return nil, "COMPLETE -"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return nil, "COMPLETE -"
	case "AFTER":
		position, statement, _ := strings.Cut(rest, " ")
		_, number, _ := strings.Cut(position, ".")
		n, _ := strconv.Atoi(number)
		g.mu.Lock()
		behind := b.applied() < n
		g.mu.Unlock()
		if behind {
			return nil, "ERROR LAGGING " + position
		}
		text = statement
		word, rest, _ = strings.Cut(text, " ")
	}
	if s.failed && word != "COMMIT" && word != "ROLLBACK" {
		return nil, "ERROR MALFORMED failed"
	}
	g.mu.Lock()
	leads := g.primary == b.id && (!s.inTx || s.term == g.term)
	g.mu.Unlock()
	if s.inTx && !s.readOnly && !leads && word != "ROLLBACK" && (word != "COMMIT" || len(s.writes) > 0) {
		s.failed = word != "COMMIT"
		s.inTx = s.failed
		return nil, "ERROR READONLY " + b.id
	}
	if word == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		shape, found := s.prepared[name]
		if !found {
			return nil, "ERROR NOSTMT " + name
		}
		word, _, _ = strings.Cut(shape, " ")
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !leads {
			return nil, "ERROR READONLY " + b.id
		}
		g.mu.Lock()
		s.inTx, s.readOnly, s.failed, s.term, s.writes = true, rest == "READ", false, g.term, nil
		g.mu.Unlock()
		return nil, "COMPLETE -"
	case "ROLLBACK":
		s.inTx, s.failed, s.writes = false, false, nil
		return nil, "COMPLETE -"
	case "COMMIT":
		failed, writes := s.failed, s.writes
		s.inTx, s.failed, s.writes = false, false, nil
		if failed {
			return nil, "ERROR ABORTED rolled back"
		}
		s.occupy()
		if len(writes) > 0 && !b.commit(writes) {
			return nil, "ERROR READONLY " + b.id
		}
		return nil, "COMPLETE " + b.signature(id)
	case "READ":
		s.occupy()
		rows := []string{"row-" + id}
		row := strings.Repeat("x", b.rowBytes)
		for range b.rowCount {
			rows = append(rows, row)
		}
		return rows, "COMPLETE " + b.signature(id)
	case "WRITE":
		if s.readOnly && s.inTx || !leads {
			s.failed = s.inTx
			return nil, "ERROR READONLY " + b.id
		}
		s.occupy()
		if s.inTx {
			s.writes = append(s.writes, id)
			return nil, "COMPLETE " + b.signature(id)
		}
		if !b.commit([]string{id}) {
			return nil, "ERROR READONLY " + b.id
		}
		return nil, "COMPLETE " + b.signature(id)
	}
	return nil, "ERROR MALFORMED " + word
}

func (b *backend) signature(id string) string { return b.id + ".sig." + id }

// commit appends a transaction to the log, and returns once a replica has received it.
func (b *backend) commit(ids []string) bool {
	g := b.g
	g.mu.Lock()
	if g.primary != b.id || b.down {
		g.mu.Unlock()
		return false
	}
	g.log = append(g.log, commit{g.term, ids})
	for _, id := range ids {
		g.runs[id]++
	}
	b.received = len(g.log)
	b.applyAt = append(b.applyAt[:min(len(b.applyAt), b.received-1)], time.Now())
	n := len(g.log)
	g.mu.Unlock()
	time.Sleep(time.Millisecond)
	for {
		g.mu.Lock()
		got, lost := false, false
		for _, other := range g.servers {
			if other != b {
				g.catchUp(other)
				got = got || !other.down && other.received >= n
				lost = lost || b.down || g.primary != b.id
			}
		}
		g.mu.Unlock()
		if got || lost {
			return got && !lost
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *backend) control(word, rest string) ([]string, string) {
	g := b.g
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && term > g.term && g.primary != b.id:
		b.fenced = term
	case word == "STEPDOWN" && term > g.term && g.primary == b.id:
		g.primary = ""
	case word == "RESUME":
		b.fenced = 0
		g.catchUp(b)
	}
	role := "replica"
	if g.primary == b.id {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 %d %d", role, g.term, g.position(b.received), b.fenced, len(b.slots), len(b.conns))
	return []string{row}, "COMPLETE -"
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

func (g *group) setWork(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.work = d
}

// setAnswer sets the size of the answers to reads.
func (g *group) setAnswer(rows, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.servers {
		b.rowCount, b.rowBytes = rows, bytes
	}
}
