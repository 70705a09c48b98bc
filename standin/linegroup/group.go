// Package linegroup is a stand-in for a replicated database group that speaks
// the line protocol. It checks the statements that it receives and records all
// commits, so that tests can detect lost and repeated writes, stale reads, and
// answers that are mixed up between sessions.
package linegroup

import (
	"fmt"
	"maps"
	"math/rand/v2"
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
	// PromoteDelay is the time between the call for a promotion and its effect.
	PromoteDelay time.Duration
	// Address returns the address on which a server that is added listens. The default is a free
	// port that the kernel selects; while the server is stopped, another process may take it.
	Address func() (string, error)
	// Seed makes the draws of Lateness repeatable.
	Seed uint64
}

// Commit is one transaction in the log.
type Commit struct {
	Number model.LogPos
	Term   uint64
	// WrittenAt is when the primary appended the commit to its log.
	WrittenAt time.Time
	// IDs are the ids of the transaction's write statements.
	IDs []string
	// Acknowledged is when a replica had received the commit; zero before that.
	Acknowledged time.Time
}

// Promotion is a change of primary that has taken effect.
type Promotion struct {
	ID    string
	Token uint64
	// Term is the term that began with it.
	Term         uint64
	CalledAt, At time.Time
	// Kept is the length of the log that ID led with. Discarded are the commits beyond it.
	Kept      int
	Discarded []Commit
	// Ahead are the servers whose logs were longer, in ascending order.
	Ahead []string
}

// call is a promotion call that passed the check of its fence and has not taken effect.
type call struct {
	server   *Server
	token    uint64
	calledAt time.Time
}

// lateCall is a promotion call that is to be carried out late.
type lateCall struct {
	id    string
	until time.Time
}

// Lateness makes a share of the orders PAUSE, RESUME and STEPDOWN, and of the promotion calls
// for which CallArrives is asked, get no answer and be carried out late.
type Lateness struct {
	// Share is between 0 and 1, and applies to what arrives before Until.
	Share float64
	Until time.Time
	// Min and Max bound the delay.
	Min, Max time.Duration
	// SpareOrders and SpareCalls except the orders and the promotion calls.
	SpareOrders, SpareCalls bool
}

// path is a network path between two servers.
type path struct{ from, to string }

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
	// violations are the detected repeated executions of a write statement.
	violations []string
	// promotions have taken effect; calls have not yet, and lateCalls are to be carried out.
	// arrivals counts the promotion calls.
	promotions []Promotion
	calls      []*call
	lateCalls  []lateCall
	arrivals   int
	lateness   Lateness
	rng        *rand.Rand
	// cuts has the paths that carry nothing, in both directions.
	cuts map[path]bool
	// token is the highest fencing token that a promotion had.
	token uint64
}

// New returns a group without servers.
func New(o Options) *Group {
	return &Group{
		options: o, servers: map[string]*Server{}, written: map[string]bool{}, term: 1,
		rng: rand.New(rand.NewPCG(o.Seed, 5)), cuts: map[path]bool{},
	}
}

// Add starts a server on the loopback interface. The first server becomes the
// primary. Each later one is a replica that begins with the log of the primary, or with an empty
// one if none is running, and receives, and counts for acknowledgements, from now on.
func (g *Group) Add(id, zone string) (*Server, error) {
	s := &Server{group: g, id: id, zone: zone, conns: map[*conn]bool{}, slots: make(chan struct{}, max(g.options.Slots, 1))}
	address := "127.0.0.1:0"
	if g.options.Address != nil {
		var err error
		if address, err = g.options.Address(); err != nil {
			return nil, err
		}
	}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.servers) == 0 {
		g.primary = id
	}
	g.servers[id] = s
	g.replicate()
	return s, nil
}

// Remove stops a server for good; its log is gone with it. Until then a server that leaves
// receives, and counts for acknowledgements. The group has no primary if it was the primary.
func (g *Group) Remove(id string) {
	g.mu.Lock()
	s := g.servers[id]
	delete(g.servers, id)
	if g.primary == id {
		g.primary = ""
	}
	g.mu.Unlock()
	if s != nil {
		s.Stop()
	}
}

// Servers returns the ids of all servers in ascending order.
func (g *Group) Servers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.servers))
}

// SetPathCut cuts or restores the network path between two servers. A replica receives the
// primary's log only over a path that is not cut.
func (g *Group) SetPathCut(a, b string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cut {
		g.cuts[path{a, b}], g.cuts[path{b, a}] = true, true
		return
	}
	delete(g.cuts, path{a, b})
	delete(g.cuts, path{b, a})
}

// SetLateness replaces the Lateness, which is zero at first.
func (g *Group) SetLateness(l Lateness) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateness = l
}

// Late decides whether an order that arrives now gets no answer and is carried out late, and by
// how much.
func (g *Group) Late() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.late(g.lateness.SpareOrders)
}

// lateCallSlack is how long a late call counts as pending after its time, for a late timer.
const lateCallSlack = 20 * time.Millisecond

// CallArrives decides the same of a promotion call for a server. Promote is called for it now or
// by then.
func (g *Group) CallArrives(id string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals++
	delay, late := g.late(g.lateness.SpareCalls)
	if late {
		g.lateCalls = append(g.lateCalls, lateCall{id: id, until: time.Now().Add(delay + lateCallSlack)})
	}
	return delay, late
}

// Arrivals returns the number of promotion calls for which CallArrives was asked.
func (g *Group) Arrivals() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrivals
}

// late decides whether something that is not spared is late. The caller holds mu.
func (g *Group) late(spared bool) (time.Duration, bool) {
	l := &g.lateness
	if spared || !time.Now().Before(l.Until) || g.rng.Float64() >= l.Share {
		return 0, false
	}
	return l.Min + time.Duration(g.rng.Int64N(int64(l.Max-l.Min)+1)), true
}

// PendingPromotions returns the targets of the promotions that were called and have not taken
// effect, among them those that are to be carried out late.
func (g *Group) PendingPromotions() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.lateCalls = slices.DeleteFunc(g.lateCalls, func(c lateCall) bool { return now.After(c.until) })
	var ids []string
	for _, c := range g.lateCalls {
		ids = append(ids, c.id)
	}
	for _, c := range g.calls {
		ids = append(ids, c.server.id)
	}
	return ids
}

// Promotions returns the promotions that have taken effect, in this order.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// Holders returns the servers that have received a commit, in ascending order. Those that have
// crashed count, since they keep their logs.
func (g *Group) Holders(number model.LogPos) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holders(number)
}

// holders is Holders for callers that hold mu.
func (g *Group) holders(number model.LogPos) []string {
	var ids []string
	for id, s := range g.servers {
		if s.received >= number {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.options.Service }

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

// Promote executes the platform's promotion call. It returns false if the token is lower than
// that of an earlier call or the server is not running. Options.PromoteDelay later the server, if
// it is still running, becomes the primary of the next term with the log that it has received by
// then; the other commits are discarded. Until then the old primary leads, and orders and further
// calls are carried out. A call for the present primary changes nothing.
func (g *Group) Promote(id string, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if token < g.token && !g.options.IgnoreTokens || s == nil || s.stopped {
		return false
	}
	g.token = max(g.token, token)
	c := &call{server: s, token: token, calledAt: time.Now()}
	switch {
	case g.primary == id:
	case g.options.PromoteDelay == 0:
		g.lead(s, c)
	default:
		g.calls = append(g.calls, c)
		time.AfterFunc(g.options.PromoteDelay, func() { g.takeEffect(c) })
	}
	return true
}

// takeEffect executes a call and those before it whose timers are late.
func (g *Group) takeEffect(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for slices.Contains(g.calls, c) {
		next := g.calls[0]
		g.calls = g.calls[1:]
		if s := next.server; g.servers[s.id] == s && !s.stopped && g.primary != s.id {
			g.lead(s, next)
		}
	}
}

// lead makes a server the primary of the next term. The caller holds mu.
func (g *Group) lead(s *Server, c *call) {
	g.term++
	discarded := slices.Clone(g.log[s.received:])
	for i := range discarded {
		for _, id := range discarded[i].IDs {
			delete(g.written, id)
		}
	}
	g.log = g.log[:s.received]
	g.promotions = append(g.promotions, Promotion{
		ID: s.id, Token: c.token, Term: g.term, CalledAt: c.calledAt, At: time.Now(), Kept: len(g.log), Discarded: discarded,
		Ahead: g.holders(s.received + 1),
	})
	for _, other := range g.servers {
		other.received = min(other.received, s.received)
		other.fencedTerm = 0
	}
	if former := g.servers[g.primary]; former != nil && g.options.FormerPrimaryServes && !former.stopped {
		former.servesOn(g.term - 1)
	}
	s.formerTerm = 0
	s.applyAll()
	g.primary = s.id
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

// Mark is the end of the acknowledged part of a log at one time.
type Mark struct {
	commits    int
	promotions int
}

// Mark returns the end of the acknowledged part of the log.
func (g *Group) Mark() Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := Mark{promotions: len(g.promotions)}
	for i := range g.log {
		if !g.log[i].Acknowledged.IsZero() {
			m.commits = i + 1
		}
	}
	return m
}

// Kept returns how many of the commits before a mark no promotion has discarded since.
func (g *Group) Kept(m Mark) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := m.commits
	for i := range g.promotions[m.promotions:] {
		n = min(n, g.promotions[m.promotions+i].Kept)
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
	g.log = append(g.log, Commit{Number: number, Term: term, IDs: ids, WrittenAt: time.Now()})
	s.received = number
	s.appliedAt = append(s.appliedAt, time.Now())
	g.mu.Unlock()
	for {
		g.mu.Lock()
		g.replicate()
		switch {
		case g.term != term:
			// A commit of a later term may have taken the number of a discarded one.
			kept := int(number) <= len(g.log) && g.log[number-1].Term == term
			if kept {
				g.log[number-1].Acknowledged = time.Now()
			}
			g.mu.Unlock()
			return number, kept
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

// replicate copies the primary's log to the replicas that are running, not paused, not stopped
// from receiving, and not cut off from the primary. The caller holds mu.
func (g *Group) replicate() {
	primary := g.servers[g.primary]
	if primary == nil || primary.stopped {
		return
	}
	for _, s := range g.servers {
		if s == primary || s.stopped || s.fencedTerm > 0 || s.receiveStopped || g.cuts[path{primary.id, s.id}] || s.actsAsFormerPrimary() {
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
