package lineproxy

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// slowStart is how long the upstream of the test takes for a new connection.
const slowStart = 120 * time.Millisecond

// agingCluster has one upstream. The position that proves freshness is the
// number of milliseconds since its start.
type agingCluster struct {
	start   time.Time
	catalog *catalog.Snapshot
	pool    *upstreampool.Pool
}

func (c *agingCluster) Now() model.Time                          { return model.Time(time.Since(c.start)) }
func (c *agingCluster) Catalog() *catalog.Snapshot               { return c.catalog }
func (c *agingCluster) Admit(model.Workspace) quota.Decision     { return quota.Decision{Admitted: true} }
func (c *agingCluster) Refund(model.Workspace)                   {}
func (c *agingCluster) Observe(*replicaset.Event)                {}
func (c *agingCluster) Suspect(model.UpstreamID)                 {}
func (c *agingCluster) Isolated() bool                           { return false }
func (c *agingCluster) local() *upstreamrun.Local                { return &upstreamrun.Local{Cluster: c} }
func (c *agingCluster) Pool(model.UpstreamID) *upstreampool.Pool { return c.pool }

func (c *agingCluster) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	return c.local().Run(r)
}

func (c *agingCluster) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	return c.local().Open(r)
}

func (c *agingCluster) PrimaryGap(catalog.Service) time.Duration { return 0 }

func (c *agingCluster) RefreshEvidence(context.Context, catalog.Service) bool { return true }

func (c *agingCluster) Primary(catalog.Service) (replicaset.Member, bool) {
	return replicaset.Member{}, false
}

func (c *agingCluster) Floor(catalog.Service, time.Duration, model.Position) (model.Position, time.Duration, bool) {
	return model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(time.Since(c.start).Milliseconds())}, 0, true
}

func (c *agingCluster) ReadCandidates(catalog.Service, model.Position, model.Workspace) []replicaset.Candidate {
	return []replicaset.Candidate{{Member: replicaset.Member{Registration: replicaset.Registration{ID: "i-1"}}}}
}

// serveSlowly answers startups after slowStart and passes queries on.
func serveSlowly(l net.Listener, queries chan<- string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := lineproto.NewReader(conn)
			if _, err := r.Read(); err != nil {
				return
			}
			time.Sleep(slowStart)
			_, _ = conn.Write([]byte("READY I 1.1\r\n"))
			for {
				m, err := r.Read()
				if err != nil || m.Word != lineproto.Query {
					return
				}
				queries <- m.Rest
				state := "I"
				if strings.Contains(m.Rest, "BEGIN") {
					state = "T"
				}
				_, _ = conn.Write([]byte("COMPLETE s\r\nREADY " + state + " 1.1\r\n"))
			}
		}()
	}
}

// Guards against proof that ages while a request waits for its connection: the
// position has to be that of when the statement is sent.
func TestFloorIsThatOfTheSending(t *testing.T) {
	for _, text := range []string{"READ item", "BEGIN READ"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		queries := make(chan string, 10)
		go serveSlowly(l, queries)
		snapshot := &catalog.Snapshot{Version: 1, Routes: []catalog.Route{{
			Database: "d", Service: "s", Freshness: catalog.FreshBounded, MaxStaleness: time.Second,
			StatementTimeout: 5 * time.Second, TargetLatency: 5 * time.Second, Anonymous: true,
		}}}
		c := &agingCluster{start: time.Now(), catalog: snapshot.Index(), pool: upstreampool.New(
			upstreampool.Upstream{ID: "i-1", Service: "s", Address: l.Addr().String(), Slots: 1}, upstreampool.Share{Base: 1, Max: 1})}
		server := NewServer(Options{Cluster: c, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()})
		s := &session{server: server, database: "d"}
		r := s.run("id", text)
		if text == "BEGIN READ" {
			r = s.run("id2", "READ item")
		}
		if r.code != "" {
			t.Fatalf("%s: %s %s", text, r.code, r.text)
		}
		fields := strings.Fields(<-queries)
		p, err := lineproto.ParsePosition(fields[2])
		if err != nil || fields[1] != "AFTER" || time.Duration(p.Pos)*time.Millisecond < slowStart {
			t.Errorf("%s: sent %q, %v", text, fields, err)
		}
	}
}
