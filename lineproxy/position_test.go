package lineproxy

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// movingCluster is a Cluster whose only route moves between services. Commits on a service
// get the next position of its log.
type movingCluster struct {
	advancingCluster
	logs map[catalog.Service]uint64
	// floor is the session position with which a read last asked for a floor, and sent the
	// one that was sent along with the last read or opened transaction.
	floor, sent model.Position
}

func newMovingCluster() *movingCluster {
	c := &movingCluster{logs: map[catalog.Service]uint64{"a": 100, "b": 5, "c": 200}}
	c.start = time.Now()
	return c
}

// move sends the route to a service.
func (c *movingCluster) move(s catalog.Service, f catalog.Freshness) {
	snapshot := &catalog.Snapshot{Version: 1, Routes: []catalog.Route{{
		Database: "db", Service: s, Anonymous: true, Freshness: f,
		MaxStaleness: time.Second, StatementTimeout: time.Second, TargetLatency: time.Second,
	}}}
	c.catalog = snapshot.Index()
}

func (c *movingCluster) service() catalog.Service { return c.catalog.Routes[0].Service }

func (c *movingCluster) position() model.Position {
	return model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(c.logs[c.service()])}
}

func (c *movingCluster) Primary(s catalog.Service) (replicaset.Member, bool) {
	return replicaset.Member{Registration: replicaset.Registration{ID: model.UpstreamID("i-" + s), Service: s}}, true
}

func (c *movingCluster) Floor(_ catalog.Service, _ time.Duration, session model.Position) (model.Position, time.Duration, bool) {
	c.floor = session
	return session, 0, true
}

func (c *movingCluster) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	if r.Write {
		c.logs[r.Service]++
	} else {
		c.sent = r.Position
	}
	return upstreamrun.Outcome{Answer: c.answer()}, nil
}

func (c *movingCluster) answer() upstreampool.Answer {
	return upstreampool.Answer{Signature: "s", Ready: lineproto.ReadyInfo{State: lineproto.Idle, Position: c.position()}}
}

func (c *movingCluster) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	c.sent = r.Position
	return &movingTx{cluster: c, service: r.Service}, upstreamrun.Outcome{}, nil
}

// movingTx is a transaction that commits one position if it has written.
type movingTx struct {
	cluster *movingCluster
	service catalog.Service
	wrote   bool
}

func (x *movingTx) Send(r *upstreamrun.TxRequest) (upstreampool.Answer, error) {
	x.wrote = x.wrote || r.Write
	if r.Text == "COMMIT" && x.wrote {
		x.cluster.logs[x.service]++
	}
	p := model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(x.cluster.logs[x.service])}
	return upstreampool.Answer{Signature: "s", Ready: lineproto.ReadyInfo{State: lineproto.Idle, Position: p}}, nil
}
func (x *movingTx) Rollback() {}
func (x *movingTx) Discard()  {}

func newMovingSession(c *movingCluster) *session {
	server := NewServer(Options{Cluster: c, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()})
	return &session{server: server, database: "db"}
}

func runAll(t *testing.T, s *session, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if r := s.run("id", text); r.code != "" {
			t.Fatalf("%s: %s %s", text, r.code, r.text)
		}
	}
}

// Guards against a session that does not see its own write after its route has moved to
// other services and back.
func TestSessionSeesItsWriteAfterItsRouteHasMoved(t *testing.T) {
	write := []string{"WRITE item x"}
	writeInTx := []string{"BEGIN", "WRITE item x", "COMMIT"}
	read := []string{"READ item"}
	readInTx := []string{"BEGIN READ", "READ item", "COMMIT"}
	for _, writing := range [][]string{write, writeInTx} {
		for _, away := range [][]string{read, readInTx, write, writeInTx, nil} {
			for _, reading := range [][]string{read, readInTx} {
				c := newMovingCluster()
				s := newMovingSession(c)
				c.move("a", catalog.FreshSession)
				runAll(t, s, writing...)
				for _, service := range []catalog.Service{"b", "c", "b"} {
					c.move(service, catalog.FreshSession)
					runAll(t, s, away...)
				}
				c.move("a", catalog.FreshSession)
				runAll(t, s, reading...)
				if c.floor.Pos != 101 || c.sent.Pos != 101 {
					t.Errorf("%v, elsewhere %v: %v had the floor %v and sent %v, want 101", writing, away, reading, c.floor, c.sent)
				}
				c.move("b", catalog.FreshSession)
				runAll(t, s, reading...)
				if c.floor.Pos > model.LogPos(c.logs["b"]) {
					t.Errorf("%v: the floor on b is %v, its log ends at %d", away, c.floor, c.logs["b"])
				}
			}
		}
	}
}

// Guards against a session that does not see its own write after its route has had another
// freshness for a while, and against a transaction that commits after its route has moved.
func TestSessionSeesItsWriteAfterItsRouteHasChanged(t *testing.T) {
	c := newMovingCluster()
	s := newMovingSession(c)
	c.move("a", catalog.FreshSession)
	runAll(t, s, "BEGIN", "WRITE item x")
	c.move("b", catalog.FreshBounded)
	runAll(t, s, "COMMIT", "READ item")
	if c.floor != (model.Position{}) {
		t.Errorf("a read of b had the session's floor %v on a", c.floor)
	}
	for _, f := range []catalog.Freshness{catalog.FreshBounded, catalog.FreshSession} {
		c.move("a", f)
		runAll(t, s, "READ item")
	}
	if c.floor.Pos != 101 {
		t.Errorf("the floor is %v after the commit at 101", c.floor)
	}
}
