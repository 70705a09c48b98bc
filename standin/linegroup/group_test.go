package linegroup

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// session is a connection to a server.
type session struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func newGroup(t *testing.T, o Options, ids ...string) *Group {
	t.Helper()
	o.Service, o.ConnectionLimit = "db", 20
	g := New(o)
	t.Cleanup(g.Close)
	for _, id := range ids {
		add(t, g, id)
	}
	return g
}

func add(t *testing.T, g *Group, id string) {
	t.Helper()
	if _, err := g.Add(id, "zone-"+id); err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, s *Server) *session {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &session{t: t, conn: conn, reader: bufio.NewReader(conn)}
	_, _ = fmt.Fprintf(conn, "STARTUP db one\r\n")
	if answer := c.answer(time.Second); !strings.HasPrefix(answer, "READY") {
		t.Fatalf("startup: %q", answer)
	}
	return c
}

// answer returns the lines up to READY, or what has arrived within d.
func (c *session) answer(d time.Duration) string {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	text := ""
	for {
		line, err := c.reader.ReadString('\n')
		text += line
		if err != nil || strings.HasPrefix(line, "READY") {
			return text
		}
	}
}

// query sends a text with an id that is unique in the test and returns the id and the answer.
func (c *session) query(text string, d time.Duration) (id, answer string) {
	c.sent++
	id = fmt.Sprintf("%s-%d", c.conn.LocalAddr(), c.sent)
	_, _ = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	return id, c.answer(d)
}

// write writes and reports whether that was acknowledged within 200 ms.
func (c *session) write() (id string, acknowledged bool) {
	id, answer := c.query("WRITE item x", 200*time.Millisecond)
	return id, strings.HasPrefix(answer, "COMPLETE")
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Guards against a promotion without the time between its call and its effect: the old primary
// leads and acknowledges until then, and the target leads with what it has received and nothing
// more.
func TestPromotionTakesEffectLater(t *testing.T) {
	g := newGroup(t, Options{PromoteDelay: 300 * time.Millisecond}, "a", "b", "c")
	before, _ := open(t, g.Server("a")).write()
	open(t, g.Server("b")).query("PAUSE 2", time.Second)
	if !g.Promote("b", 5) {
		t.Fatal("the call was refused")
	}
	if g.Promote("c", 4) {
		t.Error("a call with a lower token was accepted before the effect of the first")
	}
	during, acknowledged := open(t, g.Server("a")).write()
	if !acknowledged || g.Primary() != "a" {
		t.Errorf("acknowledged %t by %q before the effect", acknowledged, g.Primary())
	}
	waitFor(t, "the effect", func() bool { return g.Primary() == "b" })
	if g.NumberOf(before) != 1 || g.NumberOf(during) != 0 {
		t.Errorf("b leads with %+v", g.Log())
	}
	p := g.Promotions()[0]
	if p.Kept != 1 || len(p.Discarded) != 1 || p.At.Sub(p.CalledAt) < 300*time.Millisecond {
		t.Errorf("promotion %+v", p)
	}
	if _, acknowledged := open(t, g.Server("b")).write(); !acknowledged {
		t.Error("b acknowledges nothing")
	}
}

// Guards against a second call that is lost because of the first, or that takes effect before it.
func TestTwoPromotionsTakeEffectInTheirOrder(t *testing.T) {
	g := newGroup(t, Options{PromoteDelay: 100 * time.Millisecond}, "a", "b", "c")
	g.Promote("b", 5)
	time.Sleep(50 * time.Millisecond)
	if !g.Promote("c", 6) || len(g.PendingPromotions()) != 2 {
		t.Fatalf("pending %v", g.PendingPromotions())
	}
	waitFor(t, "both", func() bool { return len(g.Promotions()) == 2 })
	if p := g.Promotions(); p[0].ID != "b" || p[1].ID != "c" || p[1].Term != 3 || g.Primary() != "c" {
		t.Errorf("promotions %+v, primary %s", p, g.Primary())
	}
}

// Guards against a promotion of a server that has stopped before the effect.
func TestNoPromotionOfAStoppedServer(t *testing.T) {
	g := newGroup(t, Options{PromoteDelay: 50 * time.Millisecond}, "a", "b")
	g.Promote("b", 1)
	g.Server("b").Stop()
	waitFor(t, "the end of the call", func() bool { return len(g.PendingPromotions()) == 0 })
	if g.Primary() != "a" || g.Promote("b", 2) {
		t.Errorf("primary %s", g.Primary())
	}
}

// Guards against late orders that are answered, that come at once, or whose fence is not checked
// when they are carried out; and against one that outlasts a restart.
func TestLateOrders(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b", "c")
	g.SetLateness(Lateness{Share: 1, Until: time.Now().Add(time.Minute), Min: 150 * time.Millisecond, Max: 200 * time.Millisecond})
	if _, answer := open(t, g.Server("b")).query("PAUSE 2", 50*time.Millisecond); answer != "" {
		t.Errorf("answered %q", answer)
	}
	_, _ = open(t, g.Server("c")).query("PAUSE 2", 50*time.Millisecond)
	if term := g.fencedTerm("b"); term != 0 {
		t.Errorf("fenced for %d at once", term)
	}
	g.Server("c").Stop()
	if err := g.Server("c").Start(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the fence of b", func() bool { return g.fencedTerm("b") == 2 })
	g.Promote("c", 1)
	_, _ = open(t, g.Server("a")).query("PAUSE 2", 50*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	if g.fencedTerm("a") != 0 || g.fencedTerm("c") != 0 {
		t.Errorf("fenced for %d and %d", g.fencedTerm("a"), g.fencedTerm("c"))
	}
	g.SetLateness(Lateness{})
	if _, answer := open(t, g.Server("a")).query("PAUSE 3", time.Second); !strings.HasPrefix(answer, "ROW replica 2 ") || g.fencedTerm("a") != 3 {
		t.Errorf("answered %q", answer)
	}
}

// fencedTerm returns the term for which a server is fenced.
func (g *Group) fencedTerm(id string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].fencedTerm
}

// Guards against a new server that does not count at once, and against the log of a server that
// has left.
func TestServersJoinAndLeave(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b")
	open(t, g.Server("b")).query("PAUSE 2", time.Second)
	if _, acknowledged := open(t, g.Server("a")).write(); acknowledged {
		t.Error("acknowledged without a replica")
	}
	add(t, g, "d")
	id, acknowledged := open(t, g.Server("a")).write()
	if !acknowledged {
		t.Error("the new server does not count")
	}
	g.Remove("d")
	if _, acknowledged := open(t, g.Server("a")).write(); acknowledged {
		t.Error("a server that has left counts")
	}
	g.Promote("b", 1)
	if g.NumberOf(id) != 0 || g.Promote("d", 2) {
		t.Errorf("log %+v", g.Log())
	}
}

// Guards against a server that becomes the primary by joining a group whose primary has stepped
// down or left.
func TestNoServerLeadsByJoining(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b")
	open(t, g.Server("a")).query("STEPDOWN 2", time.Second)
	add(t, g, "d")
	if g.Primary() != "" {
		t.Errorf("%s leads", g.Primary())
	}
	g.Promote("b", 1)
	g.Remove("b")
	add(t, g, "e")
	if g.Primary() != "" {
		t.Errorf("%s leads", g.Primary())
	}
}

// Guards against receipt over a path that is cut.
func TestReceiptNeedsAPath(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b", "c")
	g.SetPathCut("b", "a", true)
	g.SetPathCut("a", "c", true)
	id, acknowledged := open(t, g.Server("a")).write()
	if acknowledged {
		t.Error("acknowledged without a path")
	}
	g.SetPathCut("c", "a", false)
	waitFor(t, "the acknowledgement", func() bool { return g.Kept(g.Mark()) == 1 })
	g.Promote("b", 1)
	if g.NumberOf(id) != 0 {
		t.Error("b has the commit")
	}
}

// Guards against a crashed primary that comes back without its log, or as a second primary.
func TestCrashedPrimaryKeepsItsLog(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b")
	id, _ := open(t, g.Server("a")).write()
	a := g.Server("a")
	a.Stop()
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	if g.Primary() != "a" || g.NumberOf(id) != 1 {
		t.Errorf("%s leads with %+v", g.Primary(), g.Log())
	}
	a.Stop()
	g.Promote("b", 1)
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	if _, answer := open(t, a).query("STATUS", time.Second); !strings.HasPrefix(answer, "ROW replica 2 1.1 ") {
		t.Errorf("status %q", answer)
	}
}

// Guards against a server that joins without the log of the primary, and against one that has a log
// though no primary was there to copy it from.
func TestServersBeginWithTheLogOfThePrimary(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b")
	open(t, g.Server("a")).write()
	add(t, g, "d")
	if n := g.Server("d").Received(); n != 1 {
		t.Errorf("d begins with %d commits", n)
	}
	g.Server("a").Stop()
	add(t, g, "e")
	if n := g.Server("e").Received(); n != 0 {
		t.Errorf("e begins with %d commits", n)
	}
	g.Promote("e", 1)
	last := g.Promotions()[0]
	if last.Kept != 0 || len(last.Discarded) != 1 || !slices.Equal(last.Ahead, []string{"a", "b", "d"}) {
		t.Errorf("promotion %+v", last)
	}
}

// Guards against a late promotion call that does not count as pending until it is carried out.
func TestLateCallsArePending(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b")
	if _, late := g.CallArrives("b"); late || len(g.PendingPromotions()) != 0 {
		t.Errorf("late: %v, pending %v", late, g.PendingPromotions())
	}
	g.SetLateness(Lateness{Share: 1, Until: time.Now().Add(time.Minute), Min: 50 * time.Millisecond, Max: 50 * time.Millisecond})
	if _, late := g.Late(); !late {
		t.Error("an order is not late")
	}
	delay, late := g.CallArrives("b")
	if !late || delay != 50*time.Millisecond || !slices.Equal(g.PendingPromotions(), []string{"b"}) {
		t.Errorf("late: %v by %v, pending %v", late, delay, g.PendingPromotions())
	}
	waitFor(t, "the end of the call", func() bool { return len(g.PendingPromotions()) == 0 })
	g.SetLateness(Lateness{Share: 1, Until: time.Now().Add(time.Minute), SpareOrders: true, SpareCalls: true})
	if _, late := g.Late(); late {
		t.Error("a spared order is late")
	}
	if _, late := g.CallArrives("b"); late {
		t.Error("a spared call is late")
	}
}

// Guards against an empty log that looks newer than the logs of earlier terms, because its position
// has a term.
func TestAnEmptyLogHasNoPosition(t *testing.T) {
	g := newGroup(t, Options{}, "a", "b")
	open(t, g.Server("a")).write()
	g.Promote("b", 1)
	g.Server("b").Stop()
	add(t, g, "d")
	if _, answer := open(t, g.Server("d")).query("STATUS", time.Second); !strings.HasPrefix(answer, "ROW replica 2 - ") {
		t.Errorf("status %q", answer)
	}
}
