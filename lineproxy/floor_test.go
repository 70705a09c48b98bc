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
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// startupDelay is how long the test's upstream takes to accept a STARTUP.
const startupDelay = 120 * time.Millisecond

// advancingCluster is a Cluster with one upstream. Its floor advances by one log
// position per millisecond.
type advancingCluster struct {
	start   time.Time
	catalog *catalog.Snapshot
	pool    *upstreampool.Pool
}

func (c *advancingCluster) Now() model.Time            { return model.Time(time.Since(c.start)) }
func (c *advancingCluster) Catalog() *catalog.Snapshot { return c.catalog }
func (c *advancingCluster) Admit(model.Workspace) quota.Decision {
	return quota.Decision{Admitted: true}
}
func (c *advancingCluster) Refund(model.Workspace)                                {}
func (c *advancingCluster) Observe(*replicaset.Event)                             {}
func (c *advancingCluster) ConfirmPrimary(*upstreamrun.Place, model.Time) bool    { return true }
func (c *advancingCluster) ConfirmCommits(*upstreamrun.Place, model.Time) bool    { return true }
func (c *advancingCluster) ConfirmCommit(*upstreamrun.Place, model.Position) bool { return true }
func (c *advancingCluster) Suspect(model.UpstreamID)                              {}
func (c *advancingCluster) Isolated() bool                                        { return false }
func (c *advancingCluster) local() *upstreamrun.Local                             { return &upstreamrun.Local{Cluster: c} }
func (c *advancingCluster) Pool(model.UpstreamID) *upstreampool.Pool              { return c.pool }

func (c *advancingCluster) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	return c.local().Run(r)
}

func (c *advancingCluster) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	return c.local().Open(r)
}

func (c *advancingCluster) PrimaryGap(catalog.Service) time.Duration { return 0 }

func (c *advancingCluster) RefreshEvidence(context.Context, catalog.Service) bool { return true }

func (c *advancingCluster) Primary(catalog.Service) (replicaset.Member, bool) {
	return replicaset.Member{}, false
}

func (c *advancingCluster) Floor(catalog.Service, time.Duration, model.Position) (model.Position, time.Duration, bool) {
	return model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(time.Since(c.start).Milliseconds())}, 0, true
}

func (c *advancingCluster) ReadCandidates(*catalog.Route, model.Position, model.Workspace) []replicaset.Candidate {
	return []replicaset.Candidate{{Member: replicaset.Member{Registration: replicaset.Registration{ID: "i-1"}}}}
}

// serveWithStartupDelay answers each STARTUP after startupDelay, sends the queries
// that it receives to the channel and answers them.
func serveWithStartupDelay(l net.Listener, queries chan<- string) {
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
			time.Sleep(startupDelay)
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

// Guards against stale reads: a floor that is computed before a request waits for
// its connection is too low when the statement is sent.
func TestFloorIsComputedWhenSending(t *testing.T) {
	for _, text := range []string{"READ item", "BEGIN READ"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		queries := make(chan string, 10)
		go serveWithStartupDelay(l, queries)
		snapshot := &catalog.Snapshot{Version: 1, Routes: []catalog.Route{{
			Database: "d", Service: "s", Freshness: catalog.FreshBounded, MaxStaleness: time.Second,
			StatementTimeout: 5 * time.Second, TargetLatency: 5 * time.Second, Anonymous: true,
		}}}
		c := &advancingCluster{start: time.Now(), catalog: snapshot.Index(), pool: upstreampool.New(
			upstreampool.Upstream{ID: "i-1", Service: "s", Address: l.Addr().String(), Slots: 1}, connlimit.Share{Base: 1, Max: 1})}
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
		if err != nil || fields[1] != "AFTER" || time.Duration(p.Pos)*time.Millisecond < startupDelay {
			t.Errorf("%s: sent %q, %v", text, fields, err)
		}
	}
}
