package upstream

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/dbgroup/pgcontrol"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
)

var (
	term2a = model.Term{Counter: 2, Proposer: "vm-a"}
	term2b = model.Term{Counter: 2, Proposer: "vm-b"}
	term3  = model.Term{Counter: 3, Proposer: "vm-a"}
)

// controlledGroup is a group with a client for its control functions.
type controlledGroup struct {
	*Group
	t       *testing.T
	control *pgcontrol.Control
}

func startControlled(t *testing.T) *controlledGroup {
	t.Helper()
	g := startGroup(t, Options{})
	credentials := pgcontrol.Credentials{User: testUser, Password: testPassword, Database: "db"}
	control := pgcontrol.New(g.Resolve, credentials)
	t.Cleanup(control.Close)
	return &controlledGroup{Group: g, t: t, control: control}
}

// fence calls Fence on the upstream with index i. It fails the test unless the
// term is accepted as wanted.
func (c *controlledGroup) fence(i int, term model.Term, want bool) dbgroup.Status {
	c.t.Helper()
	accepted, status, err := c.control.Fence(testContext(c.t), c.Upstreams[i].ID(), term)
	if err != nil || accepted != want {
		c.t.Fatalf("fence of %d in %v: accepted %v, error %v, want %v", i, term, accepted, err, want)
	}
	return status
}

func (c *controlledGroup) promote(i int, term model.Term) dbgroup.Status {
	c.t.Helper()
	status, err := c.control.Promote(testContext(c.t), c.Upstreams[i].ID(), term)
	if err != nil {
		c.t.Fatal(err)
	}
	return status
}

func (c *controlledGroup) follow(i int, term model.Term, primary int) {
	c.t.Helper()
	if _, err := c.control.Follow(testContext(c.t), c.Upstreams[i].ID(), term, c.Upstreams[primary].ID()); err != nil {
		c.t.Fatal(err)
	}
}

// An upstream must not accept two terms with the same counter, since two
// proposers could then both get a majority for it, nor an old term after a newer
// one. Promote and Follow must refuse a term that was not accepted or is old.
func TestFenceAcceptsOnlyHigherTerms(t *testing.T) {
	c := startControlled(t)
	c.fence(0, FirstTerm, false)
	c.fence(1, term2b, true)
	status := c.fence(1, term2a, false)
	if status.Promised != term2b || status.Role != dbgroup.Fenced {
		t.Fatalf("after a refused fence: %+v", status)
	}
	c.fence(1, term2b, true) // A retry after a lost response must succeed.
	c.fence(1, term3, true)
	c.fence(1, term2b, false)
	if _, err := c.control.Promote(testContext(t), c.Upstreams[1].ID(), term2b); sqlState(err) != codeNotInRequiredState {
		t.Fatalf("promotion in an old term: %v", err)
	}
	if _, err := c.control.Promote(testContext(t), c.Upstreams[2].ID(), term3); sqlState(err) != codeNotInRequiredState {
		t.Fatalf("promotion without a fence: %v", err)
	}
	if _, err := c.control.Follow(testContext(t), c.Upstreams[1].ID(), term2b, c.Upstreams[0].ID()); sqlState(err) != codeNotInRequiredState {
		t.Fatalf("follow in an old term: %v", err)
	}
}

// An accepted term must survive a restart.
func TestPromiseSurvivesRestart(t *testing.T) {
	c := startControlled(t)
	c.fence(1, term2b, true)
	c.Upstreams[1].Kill()
	if err := c.Upstreams[1].Restart(); err != nil {
		t.Fatal(err)
	}
	c.fence(1, term2a, false)
	if role := c.Upstreams[1].Status().Role; role != dbgroup.Fenced {
		t.Fatalf("role %v after a restart, want fenced", role)
	}
}

// A promotion that is repeated after a lost response must not append a second
// first entry of the term.
func TestPromoteIsIdempotent(t *testing.T) {
	c := startControlled(t)
	c.fence(1, term2a, true)
	first := c.promote(1, term2a)
	if first.Role != dbgroup.Primary || first.LastTerm != term2a || first.TermStart != first.Received {
		t.Fatalf("after the promotion: %+v", first)
	}
	if again := c.promote(1, term2a); again != first {
		t.Fatalf("repeated promotion: %+v, want %+v", again, first)
	}
	if _, err := c.control.Follow(testContext(t), c.Upstreams[1].ID(), term2a, c.Upstreams[0].ID()); err == nil {
		t.Fatal("the primary of a term followed another one in it")
	}
}

// A fence must roll back an open write transaction, and positions that were
// observed in the old term must be refused afterwards.
func TestFenceRollsBackOpenTransaction(t *testing.T) {
	c := startControlled(t)
	conn, other := connect(t, c.Upstreams[0]), connect(t, c.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY)")
	exec(t, other, "INSERT INTO item VALUES (1)")
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO item VALUES (2)")
	before := c.Upstreams[0].Status().Received
	status := c.fence(0, term2a, true)
	if status.Role != dbgroup.Fenced || status.Received != before || status.LastTerm != FirstTerm {
		t.Fatalf("after the fence: %+v", status)
	}
	if _, err := conn.Exec(testContext(t), "COMMIT"); sqlState(err) != codeSerialization {
		t.Fatalf("commit after the fence: %v", err)
	}
	if _, err := conn.Exec(testContext(t), "INSERT INTO item VALUES (3)"); sqlState(err) != codeReadOnly {
		t.Fatalf("write on a fenced upstream: %v", err)
	}
	expectPositionRefused(t, other)
	expectPositionRefused(t, connect(t, c.Upstreams[0]))
	c.promote(0, term2a)
	expectPositionRefused(t, other)
	if n := queryInt(t, other, "SELECT count(*) FROM item"); n != 1 {
		t.Fatalf("%d rows, want 1", n)
	}
	var position int64
	var term string
	err := other.QueryRow(testContext(t), "SELECT chervilhatch_position()").Scan(&term, &position)
	if err != nil || term != "2.vm-a" || position != 4 {
		t.Fatalf("position %q, %d (%v) after a read in the new term, want 2.vm-a, 4", term, position, err)
	}
}

func expectPositionRefused(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	var position int64
	var term string
	err := conn.QueryRow(testContext(t), "SELECT chervilhatch_position()").Scan(&term, &position)
	if sqlState(err) != codeNotInRequiredState {
		t.Fatalf("position %q, %d of an old term: %v", term, position, err)
	}
}

// A commit must fail after a fence was accepted, also before the fence has rolled
// back the open transaction.
func TestCommitWhileFenceRollsBack(t *testing.T) {
	g := startGroup(t, Options{})
	n := g.Upstreams[0].currentNode()
	tx, err := n.beginWrite(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	create := sqltext.Split("CREATE TABLE item (id bigint)")[0]
	if _, err := tx.exec(testContext(t), create, nil); err != nil {
		t.Fatal(err)
	}
	before := n.status().Received
	n.mu.Lock()
	n.promised = term2a
	n.leaveTerm(dbgroup.Fenced)
	n.mu.Unlock()
	if _, err := tx.commit(); err != errFenced {
		t.Fatalf("commit: %v", err)
	}
	if after := n.status().Received; after != before {
		t.Fatalf("the log grew from %d to %d", before, after)
	}
}

// A fenced replica must not receive entries of an older term.
func TestFencedReplicaReceivesNothing(t *testing.T) {
	c := startControlled(t)
	conn := connect(t, c.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY)")
	awaitApplied(t, c.Upstreams[1], FirstTerm, 2)
	before := c.fence(1, term2a, true)
	exec(t, conn, "INSERT INTO item VALUES (1)")
	awaitApplied(t, c.Upstreams[2], FirstTerm, 3)
	if status := c.Upstreams[1].Status(); status != before {
		t.Fatalf("status %+v, want %+v as after the fence", status, before)
	}
}

// A failover must keep replicated writes. A write that only the old primary has
// must be discarded, also by the old primary when it follows the new one.
func TestFailoverRewindsDivergedPrimary(t *testing.T) {
	c := startControlled(t)
	old := connect(t, c.Upstreams[0])
	exec(t, old, "CREATE TABLE item (id bigint PRIMARY KEY, name text)")
	exec(t, old, "INSERT INTO item VALUES ($1, $2)", 1, "replicated")
	shared := c.Upstreams[0].Status().Received
	awaitApplied(t, c.Upstreams[1], FirstTerm, shared)
	awaitApplied(t, c.Upstreams[2], FirstTerm, shared)
	c.Upstreams[0].Partition(true)
	exec(t, old, "INSERT INTO item VALUES ($1, $2)", 2, "lost")

	c.fence(1, term2a, true)
	c.fence(2, term2a, true)
	status := c.promote(1, term2a)
	if status.TermStart != shared+1 {
		t.Fatalf("the new term starts at %d, want %d", status.TermStart, shared+1)
	}
	if c.Primary() != c.Upstreams[1] {
		t.Fatalf("the primary of the highest term is %v", c.Primary().ID())
	}
	c.follow(2, term2a, 1)
	current := connect(t, c.Upstreams[1])
	exec(t, current, "INSERT INTO item VALUES ($1, $2)", 2, "kept")
	awaitApplied(t, c.Upstreams[2], term2a, shared+2)

	c.follow(0, term2a, 1)
	if _, err := old.Exec(testContext(t), "SELECT * FROM item"); sqlState(err) != codeCannotConnectNow {
		t.Fatalf("read before the log was compared: %v", err)
	}
	c.Upstreams[0].Partition(false)
	awaitApplied(t, c.Upstreams[0], term2a, shared+2)
	for _, s := range c.Upstreams {
		var name string
		err := connect(t, s).QueryRow(testContext(t), "SELECT name FROM item WHERE id = $1", 2).Scan(&name)
		if err != nil || name != "kept" {
			t.Errorf("%s has %q (%v), want the entry of the new term", s.ID(), name, err)
		}
	}

	// The rewound upstream must be able to become the primary again.
	c.fence(0, term3, true)
	c.fence(1, term3, true)
	c.promote(0, term3)
	exec(t, old, "INSERT INTO item VALUES ($1, $2)", 3, "again")
	if n := queryInt(t, old, "SELECT count(*) FROM item"); n != 3 {
		t.Fatalf("%d rows after the second failover, want 3", n)
	}
	if _, err := current.Exec(testContext(t), "INSERT INTO item VALUES (4, 'x')"); sqlState(err) != codeReadOnly {
		t.Fatalf("write on the primary of an older term: %v", err)
	}
}

// After a call without a response, the control client must drop the connection.
// Otherwise it could take the late response for that of its next call. The next
// call must succeed.
func TestControlDropsUncertainConnection(t *testing.T) {
	c := startControlled(t)
	c.fence(1, term2a, true)
	c.Upstreams[1].Pause()
	ctx, cancel := contextWithShortTimeout(t)
	defer cancel()
	if _, _, err := c.control.Fence(ctx, c.Upstreams[1].ID(), term3); err == nil {
		t.Fatal("a paused upstream answered")
	}
	c.Upstreams[1].Resume()
	status, err := c.control.Status(testContext(t), c.Upstreams[1].ID())
	if err != nil || status.Promised != term3 {
		t.Fatalf("status %+v, %v: the fence took effect although its answer was lost", status, err)
	}
	if _, err := c.control.Status(testContext(t), "unknown"); !errors.Is(err, pgcontrol.ErrUnknownUpstream) {
		t.Fatalf("status of an unknown upstream: %v", err)
	}
}

// Close must end a running call, and later calls must fail.
func TestControlClose(t *testing.T) {
	c := startControlled(t)
	id := c.Upstreams[0].ID()
	if _, err := c.control.Status(testContext(t), id); err != nil {
		t.Fatal(err)
	}
	c.Upstreams[0].Pause()
	result := make(chan error)
	go func() {
		_, err := c.control.Status(testContext(t), id)
		result <- err
	}()
	c.control.Close()
	if err := <-result; err == nil {
		t.Fatal("a paused upstream answered")
	}
	if _, err := c.control.Status(testContext(t), id); !errors.Is(err, pgcontrol.ErrClosed) {
		t.Fatalf("call after Close: %v", err)
	}
}

// A commit that is acknowledged must be in the log that a concurrent fence
// reports, and one that is refused must not.
func TestCommitIsAtomicWithFence(t *testing.T) {
	const rounds = 20
	c := startControlled(t)
	conn := connect(t, c.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY)")
	term := FirstTerm
	acknowledged := int64(0)
	for range rounds {
		term = term.Next("vm-a")
		before := acknowledged
		base := c.Upstreams[0].Status().Received
		started := make(chan struct{})
		stopped := make(chan error)
		go func() {
			for {
				_, err := conn.Exec(testContext(t), "INSERT INTO item VALUES ($1)", acknowledged)
				if err != nil {
					stopped <- err
					return
				}
				acknowledged++
				if acknowledged == before+1 {
					close(started)
				}
			}
		}()
		<-started
		status := c.fence(0, term, true)
		if err := <-stopped; sqlState(err) != codeReadOnly && sqlState(err) != codeSerialization {
			t.Fatalf("write after the fence: %v", err)
		}
		if held := int64(status.Received - base); held != acknowledged-before {
			t.Fatalf("the fenced log has %d new entries, %d writes were acknowledged", held, acknowledged-before)
		}
		if n := queryInt(t, conn, "SELECT count(*) FROM item"); n != acknowledged {
			t.Fatalf("%d rows, %d writes were acknowledged", n, acknowledged)
		}
		c.promote(0, term)
	}
}
