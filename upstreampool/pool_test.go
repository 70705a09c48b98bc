package upstreampool

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// server is an upstream that answers every query at once.
type server struct {
	listener net.Listener
	// refusal is the error that answers a startup, unless it is nil.
	refusal atomic.Pointer[string]
	started atomic.Int64
	conns   chan net.Conn
	queries chan string
}

func newServer(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, conns: make(chan net.Conn, 100), queries: make(chan string, 1000)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	r := lineproto.NewReader(conn)
	if _, err := r.Read(); err != nil {
		return
	}
	if refusal := s.refusal.Load(); refusal != nil {
		_, _ = conn.Write([]byte("ERROR " + *refusal + "\r\n"))
		return
	}
	s.started.Add(1)
	_, _ = conn.Write([]byte("READY I 1.1\r\n"))
	for {
		m, err := r.Read()
		if err != nil || m.Word != lineproto.Query {
			return
		}
		s.queries <- m.Rest
		_, _ = conn.Write([]byte("COMPLETE -\r\nREADY I 1.1\r\n"))
	}
}

func newPool(s *server, share connlimit.Share) *Pool {
	return New(Upstream{ID: "i-1", Service: "db", Address: s.listener.Addr().String(), Slots: 3}, share)
}

func acquire(t *testing.T, p *Pool, workspace string) *Conn {
	t.Helper()
	c, err := p.Acquire(context.Background(), Request{Workspace: workspace, Wait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a connection that serves two workspaces, and against a new
// connection while an idle one of the workspace exists.
func TestConnectionsBelongToWorkspaces(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 2, Max: 2, Keep: 2})
	one := acquire(t, p, "one")
	p.Release(one, true)
	if again := acquire(t, p, "one"); again != one {
		t.Error("the idle connection of the workspace was not reused")
	}
	two := acquire(t, p, "two")
	if two == one {
		t.Fatal("a connection serves another workspace")
	}
	p.Release(one, true)
	three := acquire(t, p, "three")
	if three == one || p.Stats().Open != 2 {
		t.Errorf("%d connections are open, want 2", p.Stats().Open)
	}
}

// Guards against more open connections than the share allows, and against a
// waiter that is not served when a connection is closed.
func TestWaitersGetFreedCapacity(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 1, Max: 1, Keep: 1})
	held := acquire(t, p, "one")
	if _, err := p.Acquire(context.Background(), Request{Workspace: "two", Wait: 20 * time.Millisecond}); !errors.Is(err, ErrAcquireTimeout) {
		t.Fatalf("Acquire above the share: %v", err)
	}
	got := make(chan *Conn)
	go func() {
		c, _ := p.Acquire(context.Background(), Request{Workspace: "two", Wait: 5 * time.Second})
		got <- c
	}()
	for p.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	p.Release(held, false)
	if c := <-got; c == nil || c.workspace != "two" || p.Stats().Open != 1 {
		t.Errorf("connection %+v, %d open", c, p.Stats().Open)
	}
}

// Guards against a workspace whose many requests starve others, and against
// urgent requests that wait behind less urgent ones.
func TestOrderOfWaiters(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 2, Max: 2, Keep: 2})
	p.inUse["flood"] = 2
	p.waiters = []*waiter{
		{workspace: "flood", priority: 1},
		{workspace: "calm", priority: 1},
		{workspace: "late", priority: 2},
		{workspace: "urgent", priority: 0},
	}
	order := ""
	for w := p.nextWaiter(""); w != nil; w = p.nextWaiter("") {
		order += w.workspace + " "
	}
	if order != "urgent calm flood late " {
		t.Errorf("order %q", order)
	}
}

// Guards against reuse of an idle connection that the upstream has closed.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 2, Max: 2, Keep: 2})
	c := acquire(t, p, "one")
	p.Release(c, true)
	_ = (<-s.conns).Close()
	time.Sleep(20 * time.Millisecond)
	if next := acquire(t, p, "one"); next == c {
		t.Error("a closed connection was reused")
	}
}

// Guards against reserved capacity that is not freed when the upstream refuses
// a connection.
func TestRefusedConnection(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 1, Max: 3, Keep: 1})
	refusal := "TOOMANY limit"
	s.refusal.Store(&refusal)
	for range 5 {
		_, err := p.Acquire(context.Background(), Request{Workspace: "one", Wait: 10 * time.Millisecond})
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Code != lineproto.TooMany || refused.Replaced() {
			t.Fatalf("Acquire: %v", err)
		}
	}
	if p.Stats().Open != 0 || p.limit() != 1 {
		t.Errorf("%d open, limit %d after refusals", p.Stats().Open, p.limit())
	}
	other := "MISROUTED i-2"
	s.refusal.Store(&other)
	_, err := p.Acquire(context.Background(), Request{Workspace: "one", Wait: 10 * time.Millisecond})
	var refused *RefusedError
	if !errors.As(err, &refused) || !refused.Replaced() {
		t.Errorf("Acquire at another upstream's address: %v", err)
	}
	s.refusal.Store(nil)
	acquire(t, p, "one")
}

// Guards against a refused connection that costs a pool those that it has, where the shares
// of all VMs together may exceed the upstream's limit.
func TestRefusalKeepsOpenConnections(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 1, Max: 4, Keep: 4, Overlapping: true})
	held := []*Conn{acquire(t, p, "one"), acquire(t, p, "two"), acquire(t, p, "three")}
	refusal := "TOOMANY limit"
	s.refusal.Store(&refusal)
	if _, err := p.Acquire(context.Background(), Request{Workspace: "four", Wait: 10 * time.Millisecond}); err == nil {
		t.Fatal("a connection was opened")
	}
	for _, c := range held {
		p.Release(c, true)
	}
	p.Trim()
	if got := p.Stats(); got.Open != 3 || p.limit() != 3 {
		t.Errorf("%d connections open, limit %d after a refusal, want 3 and 3", got.Open, p.limit())
	}
}

// Guards against waiters that are not served when the pool may open more connections.
func TestRaisedShareServesWaiters(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 1, Max: 1, Keep: 1})
	acquire(t, p, "one")
	got := make(chan *Conn)
	for _, w := range []string{"two", "three"} {
		go func() {
			c, _ := p.Acquire(context.Background(), Request{Workspace: w, Wait: 5 * time.Second})
			got <- c
		}()
	}
	for p.Stats().Waiting < 2 {
		time.Sleep(time.Millisecond)
	}
	p.SetShare(connlimit.Share{Base: 3, Max: 3, Keep: 3})
	for range 2 {
		if c := <-got; c == nil {
			t.Error("a waiter got no connection")
		}
	}
}

// Guards against session values that are missing on a connection, or left there
// by another session.
func TestApplySession(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 1, Max: 1, Keep: 1})
	c := acquire(t, p, "one")
	deadline := time.Now().Add(time.Second)
	steps := []struct {
		values map[string]string
		want   string
	}{
		{map[string]string{"a": "1"}, "- SET a 1"},
		{map[string]string{"a": "1"}, ""},
		{map[string]string{"a": "2"}, "- SET a 2"},
		{map[string]string{"b": "3"}, "- RESET,- SET b 3"},
	}
	for i, step := range steps {
		if err := c.ApplySession(deadline, &SessionState{ID: uint64(i), Values: step.values}); err != nil {
			t.Fatal(err)
		}
		var queries []string
		for len(s.queries) > 0 {
			queries = append(queries, <-s.queries)
		}
		if got := strings.Join(queries, ","); got != step.want {
			t.Errorf("step %d: %q, want %q", i, got, step.want)
		}
	}
	name, err := c.Prepare(deadline, true, "shape")
	if again, _ := c.Prepare(deadline, true, "shape"); err != nil || again != name {
		t.Errorf("prepared as %q and %q, %v", name, again, err)
	}
	if other, _ := c.Prepare(deadline, false, "shape"); other == name {
		t.Error("a read and a write share a prepared statement")
	}
}

// Guards against more statements to an upstream that warms up than its rate
// allows.
func TestWarmup(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 4, Max: 4, Keep: 4})
	p.SetWarmup(300*time.Millisecond, 20)
	served := 0
	for start := time.Now(); time.Since(start) < 250*time.Millisecond; time.Sleep(time.Millisecond) {
		c, err := p.Acquire(context.Background(), Request{Workspace: "one", Wait: time.Second})
		if errors.Is(err, ErrWarmingUp) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		served++
		p.Release(c, true)
	}
	if served > 6 {
		t.Errorf("%d statements in a quarter of a second at 20 a second", served)
	}
	time.Sleep(60 * time.Millisecond)
	for range 10 {
		p.Release(acquire(t, p, "one"), true)
	}
}

// Guards against idle connections that are found dead because the deadline of
// their last statement has passed.
func TestIdleConnectionsOutliveTheLastDeadline(t *testing.T) {
	s := newServer(t)
	p := newPool(s, connlimit.Share{Base: 2, Max: 2, Keep: 2})
	c := acquire(t, p, "one")
	const limit = 100 * time.Millisecond
	if _, err := c.Query(time.Now().Add(limit), "id", "READ item"); err != nil {
		t.Fatal(err)
	}
	p.Release(c, true)
	time.Sleep(2 * limit)
	p.Trim()
	if again := acquire(t, p, "one"); again != c {
		t.Error("the idle connection was not reused")
	}
	if n := s.started.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}
