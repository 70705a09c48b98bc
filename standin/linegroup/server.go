package linegroup

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// Server is one upstream of a Group.
type Server struct {
	group *Group
	id    string
	zone  string
	slots chan struct{}

	listener net.Listener
	address  string

	// The fields below, up to overLimit, are guarded by the group's mutex.

	// received is the position of the last received commit.
	received model.LogPos
	// appliedAt has the time at which each received commit becomes visible.
	appliedAt []time.Time
	// fencedTerm is the term for which the server is paused, 0 if it is not.
	fencedTerm     uint64
	stopped        bool
	receiveStopped bool
	// starts counts the restarts. A server forgets its late orders when it stops.
	starts int
	// formerTerm is the term in which a former primary continues to serve, 0 otherwise.
	// It steps down at yieldAt, unless newPrimaryCut is true.
	formerTerm    uint64
	yieldAt       time.Time
	newPrimaryCut bool
	// stepDownIgnored is true if the server does not carry out STEPDOWN.
	stepDownIgnored bool
	conns           map[*conn]bool
	// overLimit counts the connections refused because of the limit.
	overLimit int

	// loseAnswers is how many of the next answers are not sent; the connection
	// is closed instead.
	loseAnswers atomic.Int32
	// silent delays the handling of all queries until it is false.
	silent atomic.Bool
	// reads counts the executed reads.
	reads atomic.Int64
}

func (s *Server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.address = l, l.Addr().String()
	go s.accept(l)
	return nil
}

func (s *Server) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(raw)
	}
}

// ID returns the server's id.
func (s *Server) ID() string { return s.id }

// Address returns the address of the listener as host:port.
func (s *Server) Address() string { return s.address }

// Zone returns the server's availability zone.
func (s *Server) Zone() string { return s.zone }

// Reads returns the number of reads that the server has executed.
func (s *Server) Reads() int64 { return s.reads.Load() }

// Received returns the position of the last commit that the server has received.
func (s *Server) Received() model.LogPos {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.received
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.conns)
}

// OverLimit returns the number of connections refused because of the limit.
func (s *Server) OverLimit() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.overLimit
}

// LoseAnswers makes the server execute the next n queries that have an id and
// close the connection without an answer.
func (s *Server) LoseAnswers(n int) { s.loseAnswers.Store(int32(n)) }

// SetSilent makes the server accept connections and keep them open, but not
// handle queries.
func (s *Server) SetSilent(silent bool) { s.silent.Store(silent) }

// SetReceiveStopped keeps a replica from receiving commits.
func (s *Server) SetReceiveStopped(receiveStopped bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.receiveStopped = receiveStopped
}

// SetNewPrimaryCut keeps a former primary from reaching the new one, so that it serves
// until it is told to step down. Reaching it again starts Options.YieldAfter.
func (s *Server) SetNewPrimaryCut(cut bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.newPrimaryCut = cut
	s.yieldAt = time.Now().Add(s.group.options.YieldAfter)
}

// IgnoreStepDown makes the server answer STEPDOWN without carrying it out.
func (s *Server) IgnoreStepDown(ignore bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.stepDownIgnored = ignore
}

// servesOn makes a former primary continue in its term. The caller holds the group's
// mutex.
func (s *Server) servesOn(term uint64) {
	s.formerTerm, s.yieldAt = term, time.Now().Add(s.group.options.YieldAfter)
}

// FormerPrimary reports whether the server is a former primary that still serves.
func (s *Server) FormerPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.actsAsFormerPrimary()
}

// actsAsFormerPrimary is FormerPrimary for callers that hold the group's mutex.
func (s *Server) actsAsFormerPrimary() bool {
	if s.formerTerm != 0 && !s.newPrimaryCut && time.Now().After(s.yieldAt) {
		s.formerTerm = 0
	}
	return s.formerTerm != 0
}

// Stopped reports whether the server has crashed, was stopped, or has left.
func (s *Server) Stopped() bool { return s.isStopped() }

func (s *Server) isStopped() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.stopped
}

// Stop closes the listener and all connections. The log is kept for Start.
func (s *Server) Stop() {
	s.group.mu.Lock()
	s.stopped = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.group.mu.Unlock()
	_ = s.listener.Close()
	for _, c := range conns {
		_ = c.raw.Close()
	}
}

// Start starts a stopped server again on the same address, with its log and without its fence.
// A primary is the primary again if no other server was promoted, otherwise a replica.
func (s *Server) Start() error {
	s.group.mu.Lock()
	s.stopped, s.formerTerm, s.fencedTerm = false, 0, 0
	s.starts++
	s.group.mu.Unlock()
	return s.listen(s.address)
}

// setApplied sets when the last received commit becomes visible to reads. The
// caller holds the group's mutex.
func (s *Server) setApplied(at time.Time) {
	s.appliedAt = append(s.appliedAt[:min(len(s.appliedAt), int(s.received)-1)], at)
}

// applyAll makes all received commits visible to reads. The caller holds the group's
// mutex.
func (s *Server) applyAll() {
	now := time.Now()
	for i := range s.appliedAt {
		if s.appliedAt[i].After(now) {
			s.appliedAt[i] = now
		}
	}
}

// applied returns the position of the last commit that reads see. The caller
// holds the group's mutex.
func (s *Server) applied() model.LogPos {
	now := time.Now()
	n := model.LogPos(0)
	for n < s.received && int(n) < len(s.appliedAt) && !s.appliedAt[n].After(now) {
		n++
	}
	return n
}

// formatPosition returns the wire form of a position with the term of its
// commit. The caller holds the group's mutex.
func (s *Server) formatPosition(number model.LogPos) string {
	if number == 0 {
		return lineproto.NilValue
	}
	term := s.group.term
	if int(number) <= len(s.group.log) {
		term = s.group.log[number-1].Term
	}
	return lineproto.FormatPosition(model.Position{Term: model.Term{Counter: term}, Pos: number})
}

// conn is one connection and its session.
type conn struct {
	server    *Server
	raw       net.Conn
	workspace string
	inTx      bool
	readOnly  bool
	// failed is true after an error in the open transaction.
	failed bool
	// term is the group's term when the transaction began.
	term uint64
	// writes are the ids of the transaction's write statements.
	writes []string
	// prepared has the text of each prepared statement by its name.
	prepared map[string]string
	// values are the session values, set by SET.
	values    map[string]string
	closeOnce sync.Once
}

func (s *Server) serve(raw net.Conn) {
	c := &conn{server: s, raw: raw, prepared: map[string]string{}, values: map[string]string{}}
	defer c.close()
	r := lineproto.NewReader(raw)
	m, err := r.Read()
	if err != nil || m.Word != lineproto.Startup {
		return
	}
	f := strings.Fields(m.Rest)
	if refusal := s.admit(c, f); refusal != "" {
		c.send(lineproto.Error + " " + refusal)
		return
	}
	c.send(c.ready())
	for {
		m, err := r.Read()
		if err != nil || m.Word != lineproto.Query {
			return
		}
		for s.silent.Load() {
			if s.isStopped() {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		id, text := lineproto.Cut(m.Rest)
		if s.deferOrder(text) {
			// The connection stays open and silent.
			for err == nil {
				_, err = r.Read()
			}
			return
		}
		lines := c.run(id, text)
		if id != lineproto.NilValue && s.loseAnswers.Load() > 0 && s.loseAnswers.Add(-1) >= 0 {
			return
		}
		c.send(append(lines, c.ready())...)
	}
}

// deferOrder reports whether a text is an order that is to be carried out late, and arranges
// for that.
func (s *Server) deferOrder(text string) bool {
	word, rest := lineproto.Cut(text)
	if word != "PAUSE" && word != "RESUME" && word != "STEPDOWN" {
		return false
	}
	delay, late := s.group.Late()
	if !late {
		return false
	}
	s.group.mu.Lock()
	starts := s.starts
	s.group.mu.Unlock()
	time.AfterFunc(delay, func() {
		s.group.mu.Lock()
		gone := s.stopped || s.starts != starts
		s.group.mu.Unlock()
		if !gone {
			s.control(word, rest)
		}
	})
	return true
}

// admit checks the fields of a startup message and registers the connection. It
// returns the error code and text of a refusal, or "".
func (s *Server) admit(c *conn, f []string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch {
	case len(f) < 2 || f[0] != s.group.options.Service || len(f) > 2 && f[2] != s.id:
		return string(lineproto.Misrouted) + " " + s.id
	case len(s.conns) >= s.group.options.ConnectionLimit:
		s.overLimit++
		return string(lineproto.TooMany) + " limit"
	}
	c.workspace = f[1]
	s.conns[c] = true
	return ""
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.server.group.mu.Lock()
		delete(c.server.conns, c)
		c.server.group.mu.Unlock()
		_ = c.raw.Close()
	})
}

func (c *conn) send(lines ...string) {
	// A write error means that the client has disconnected; serve notices it
	// at the next read.
	_, _ = c.raw.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
}

func (c *conn) ready() string {
	state := lineproto.Idle
	switch {
	case c.failed:
		state = lineproto.TxFailed
	case c.inTx:
		state = lineproto.InTx
	}
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicate()
	return lineproto.Ready + " " + string(state) + " " + c.server.formatPosition(c.server.applied())
}

func failure(code lineproto.Code, text string) []string {
	return []string{lineproto.Error + " " + string(code) + " " + text}
}

func complete(signature string) []string { return []string{lineproto.Complete + " " + signature} }

// run executes one query and returns the lines of its answer.
func (c *conn) run(id, text string) []string {
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement := lineproto.Cut(rest)
		if !c.server.hasApplied(position) {
			return failure(lineproto.Lagging, position)
		}
		text = statement
	}
	word, rest := lineproto.Cut(text)
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.server.control(word, rest)
	case "RESET":
		clear(c.prepared)
		clear(c.values)
		return complete(lineproto.NilValue)
	}
	st := lineproto.ParseStatement(text)
	switch st.Verb {
	case lineproto.VerbBegin, lineproto.VerbBeginRead:
		return c.begin(st.Verb == lineproto.VerbBeginRead)
	case lineproto.VerbRollback:
		c.endTx()
		return complete(lineproto.NilValue)
	case lineproto.VerbCommit:
		return c.commit()
	case lineproto.VerbSet:
		c.values[st.Name] = st.Value
		return complete(lineproto.NilValue)
	case lineproto.VerbPrepare:
		c.prepared[st.Name] = rest
		return complete(lineproto.NilValue)
	case lineproto.VerbExecute:
		return c.execute(id, st.Name)
	case lineproto.VerbRead:
		return c.read(id)
	case lineproto.VerbWrite:
		return c.write(id)
	}
	return failure(lineproto.Malformed, word)
}

// hasApplied reports whether reads see the commit at a position.
func (s *Server) hasApplied(position string) bool {
	p, err := lineproto.ParsePosition(position)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.replicate()
	return err == nil && p.Pos <= s.applied()
}

func (c *conn) begin(readOnly bool) []string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.term
	if c.server.actsAsFormerPrimary() {
		term = c.server.formerTerm
	} else if !readOnly && g.primary != c.server.id {
		return failure(lineproto.ReadOnly, c.server.id)
	}
	c.inTx, c.readOnly, c.term = true, readOnly, term
	return complete(lineproto.NilValue)
}

func (c *conn) endTx() { c.inTx, c.failed, c.readOnly, c.writes = false, false, false, nil }

// mayWrite reports whether the server is the primary and, in a transaction, the
// term is still that of its BEGIN.
func (c *conn) mayWrite() bool {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.server.actsAsFormerPrimary() {
		return !c.inTx || c.term == c.server.formerTerm
	}
	return g.primary == c.server.id && (!c.inTx || c.term == g.term)
}

// occupySlot waits for a slot and holds it for Options.Work.
func (c *conn) occupySlot() {
	c.server.slots <- struct{}{}
	time.Sleep(c.server.group.options.Work)
	<-c.server.slots
}

// signature returns the signature of an answer: the server's id and the time.
func (c *conn) signature() string {
	return c.server.id + "." + strconv.FormatInt(time.Now().UnixNano(), 36)
}

func (c *conn) execute(id, name string) []string {
	text, found := c.prepared[name]
	if !found {
		return failure(lineproto.NoStatement, name)
	}
	if strings.Contains(text, " WRITE ") {
		return c.write(id)
	}
	return c.read(id)
}

func (c *conn) read(id string) []string {
	if c.inTx && !c.readOnly && !c.mayWrite() {
		c.failed = true
		return failure(lineproto.ReadOnly, c.server.id)
	}
	c.occupySlot()
	c.server.reads.Add(1)
	g := c.server.group
	g.mu.Lock()
	position := c.server.applied()
	g.mu.Unlock()
	row := fmt.Sprintf("%s %s %d %s", lineproto.Row, id, position, c.formatValues())
	return append([]string{row}, complete(c.signature())...)
}

// formatValues returns the session values, sorted by name.
func (c *conn) formatValues() string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		text += name + "=" + c.values[name] + ";"
	}
	return text
}

func (c *conn) write(id string) []string {
	if !c.mayWrite() || c.readOnly {
		c.failed = c.inTx
		return failure(lineproto.ReadOnly, c.server.id)
	}
	c.occupySlot()
	if c.inTx {
		c.writes = append(c.writes, id)
		return complete(c.signature())
	}
	return c.commitAndAnswer([]string{id})
}

// commitAndAnswer commits a transaction and returns the answer. If the server
// was stopped in between, it closes the connection, so that no answer is sent.
func (c *conn) commitAndAnswer(ids []string) []string {
	if _, ok := c.server.group.commit(c.server, ids); ok {
		return complete(c.signature())
	}
	if c.server.isStopped() {
		_ = c.raw.Close()
	}
	return failure(lineproto.ReadOnly, c.server.id)
}

func (c *conn) commit() []string {
	if !c.inTx {
		return failure(lineproto.Malformed, "no transaction")
	}
	writes := c.writes
	failed := c.failed || len(writes) > 0 && !c.mayWrite()
	c.endTx()
	if failed {
		return failure(lineproto.ReadOnly, c.server.id)
	}
	if len(writes) > 0 {
		c.occupySlot()
		return c.commitAndAnswer(writes)
	}
	return complete(c.signature())
}

// control executes STATUS, PAUSE, RESUME and STEPDOWN. The answer to each is a
// row with the status.
func (s *Server) control(word, rest string) []string {
	term, _ := strconv.ParseUint(rest, 10, 64)
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicate()
	switch word {
	case "PAUSE":
		if term > g.term && g.primary != s.id {
			s.fencedTerm = term
		}
	case "RESUME":
		s.fencedTerm = 0
	case "STEPDOWN":
		switch {
		case s.stepDownIgnored:
		case s.actsAsFormerPrimary() && term > s.formerTerm:
			s.formerTerm = 0
		case term > g.term && g.primary == s.id:
			g.primary = ""
		}
	}
	role, ownTerm := "replica", g.term
	switch {
	case s.actsAsFormerPrimary():
		role, ownTerm = "primary", s.formerTerm
	case g.primary == s.id:
		role = "primary"
	}
	row := fmt.Sprintf("%s %s %d %s %d 0 %d %d", lineproto.Row, role, ownTerm, s.formatPosition(s.received), s.fencedTerm, len(s.slots), len(s.conns))
	return append([]string{row}, complete(lineproto.NilValue)...)
}
