// Package linegroup is a stand-in for a replicated database group that speaks
// the line protocol. It checks the statements that it receives and records all
// commits, so that tests can detect lost and repeated writes, stale reads, and
// answers that are mixed up between sessions.
package linegroup

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Options configure a Group.
type Options struct {
	Service string
	// ConnectionLimit is the maximum number of connections to each server.
	ConnectionLimit int
	// Work is how long a read, write or commit occupies a slot.
	Work time.Duration
	// Slots is the number of operations that a server runs concurrently, at
	// least 1.
	Slots int
	// Lag is the time between receiving and applying a commit on a replica.
	Lag time.Duration
	// FormerPrimaryServes makes a former primary continue as one after a promotion until
	// it is told to step down, or until YieldAfter after it reaches the new primary.
	FormerPrimaryServes bool
	YieldAfter          time.Duration
	// IgnoreTokens makes promotions with a lower fencing token than an earlier one
	// succeed.
	IgnoreTokens bool
}

// Commit is one transaction in the log.
type Commit struct {
	Number model.LogPos
	Term   uint64
	// IDs are the ids of the transaction's write statements.
	IDs []string
	// Acknowledged is when a replica had received the commit; zero before that.
	Acknowledged time.Time
}

// Group is a database group: one primary and its replicas, all in this process.
type Group struct {
	options Options

	mu      sync.Mutex
	servers map[string]*Server
	// primary is the id of the primary; empty after it has stepped down.
	primary string
	term    uint64
	log     []Commit
	// written has the ids of all write statements in the log.
	written map[string]bool
	// violations are the detected losses of acknowledged commits and repeated
	// executions of a write statement.
	violations []string
	// keptByPromotion is the length of the log after the last promotion.
	keptByPromotion int
	// token is the highest fencing token that a promotion had.
	token uint64
}

// New returns a group without servers.
func New(o Options) *Group {
	return &Group{options: o, servers: map[string]*Server{}, written: map[string]bool{}, term: 1}
}

// Add starts a server on a free port of the loopback interface. The first
// server becomes the primary.
func (g *Group) Add(id, zone string) (*Server, error) {
	s := &Server{group: g, id: id, zone: zone, conns: map[*conn]bool{}, slots: make(chan struct{}, max(g.options.Slots, 1))}
	if err := s.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id] = s
	if g.primary == "" {
		g.primary = id
	}
	return s, nil
}

// Primary returns the id of the primary, or "" if there is none.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Server returns a server by its id, or nil.
func (g *Group) Server(id string) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id]
}

// Promote implements the platform's promotion call: the server becomes the
// primary of the next term, and commits that it has not received are discarded.
// It returns false if the token is lower than that of an earlier promotion or
// the server is not running.
func (g *Group) Promote(id string, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if token < g.token && !g.options.IgnoreTokens || s == nil || s.stopped {
		return false
	}
	g.token = max(g.token, token)
	if g.primary == id {
		return true
	}
	g.term++
	for i := int(s.received); i < len(g.log); i++ {
		if !g.log[i].Acknowledged.IsZero() {
			g.recordViolation("commit %d of %v was acknowledged and is lost by the promotion of %s", g.log[i].Number, g.log[i].IDs, id)
		}
	}
	for i := int(s.received); i < len(g.log); i++ {
		for _, id := range g.log[i].IDs {
			delete(g.written, id)
		}
	}
	g.log = g.log[:s.received]
	g.keptByPromotion = len(g.log)
	for _, other := range g.servers {
		other.received = min(other.received, s.received)
		other.fencedTerm = 0
	}
	if former := g.servers[g.primary]; former != nil && g.options.FormerPrimaryServes && !former.stopped {
		former.servesOn(g.term - 1)
	}
	s.formerTerm = 0
	s.applyAll()
	g.primary = id
	return true
}

// recordViolation appends a message to the violations. The caller holds mu.
func (g *Group) recordViolation(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// Violations returns a message for each violation detected so far.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.violations...)
}

// Log returns a copy of the log.
func (g *Group) Log() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.log...)
}

// AcknowledgedCommits returns the number of commits that replicas have received.
func (g *Group) AcknowledgedCommits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for i := range g.log {
		if !g.log[i].Acknowledged.IsZero() {
			n = i + 1
		}
	}
	return n
}

// NumberOf returns the number of the commit that contains the statement with
// this id, or 0 if there is none.
func (g *Group) NumberOf(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.log) - 1; i >= 0; i-- {
		if slices.Contains(g.log[i].IDs, id) {
			return i + 1
		}
	}
	return 0
}

// Close stops all servers.
func (g *Group) Close() {
	g.mu.Lock()
	servers := make([]*Server, 0, len(g.servers))
	for _, s := range g.servers {
		servers = append(servers, s)
	}
	g.mu.Unlock()
	for _, s := range servers {
		s.Stop()
	}
}

// commit appends a transaction to the log of s and waits until a replica has
// received it. ok is false if s is not the primary, if s was stopped while
// waiting, or if a promotion discarded the transaction.
func (g *Group) commit(s *Server, ids []string) (number model.LogPos, ok bool) {
	// No replica receives the commits of a former primary.
	for s.FormerPrimary() && !s.isStopped() {
		time.Sleep(time.Millisecond)
	}
	g.mu.Lock()
	if g.primary != s.id {
		g.mu.Unlock()
		return 0, false
	}
	term := g.term
	for _, id := range ids {
		if g.written[id] {
			g.recordViolation("statement %s takes effect twice", id)
		}
		g.written[id] = true
	}
	number = model.LogPos(len(g.log) + 1)
	g.log = append(g.log, Commit{Number: number, Term: term, IDs: ids})
	s.received = number
	s.appliedAt = append(s.appliedAt, time.Now())
	g.mu.Unlock()
	for {
		g.mu.Lock()
		g.replicate()
		switch {
		case g.term != term:
			keptByPromotion := int(number) <= g.keptByPromotion
			g.mu.Unlock()
			return number, keptByPromotion
		case g.replicasWith(s.id, number) > 0:
			g.log[number-1].Acknowledged = time.Now()
			g.mu.Unlock()
			return number, true
		}
		g.mu.Unlock()
		if s.isStopped() {
			return 0, false
		}
		time.Sleep(time.Millisecond)
	}
}

// replicate copies the primary's log to the replicas that are running, not
// paused and not stopped from receiving. The caller holds mu.
func (g *Group) replicate() {
	primary := g.servers[g.primary]
	if primary == nil || primary.stopped {
		return
	}
	for _, s := range g.servers {
		if s == primary || s.stopped || s.fencedTerm > 0 || s.receiveStopped || s.actsAsFormerPrimary() {
			continue
		}
		for s.received < primary.received {
			s.received++
			s.setApplied(time.Now().Add(g.options.Lag))
		}
	}
}

// replicasWith returns how many replicas have received a commit. The caller
// holds mu.
func (g *Group) replicasWith(primary string, number model.LogPos) int {
	n := 0
	for id, s := range g.servers {
		if id != primary && s.received >= number {
			n++
		}
	}
	return n
}
