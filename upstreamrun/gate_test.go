package upstreamrun

import (
	"errors"
	"net"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// gatedCluster is a recorder with a pool that has a gate.
type gatedCluster struct {
	recorder
	pool *upstreampool.Pool
	// confirm is the answer of ConfirmPrimary to each call in turn.
	confirm []bool
}

func (c *gatedCluster) Now() model.Time                          { return boottime.Now() }
func (c *gatedCluster) Pool(model.UpstreamID) *upstreampool.Pool { return c.pool }

func (c *gatedCluster) ConfirmPrimary(*Place, model.Time) bool {
	confirmed := c.confirm[0]
	c.confirm = c.confirm[1:]
	return confirmed
}

func (c *gatedCluster) ConfirmCommits(p *Place, since model.Time) bool {
	return c.ConfirmPrimary(p, since)
}

func (c *gatedCluster) Floor(catalog.Service, time.Duration, model.Position) (model.Position, time.Duration, bool) {
	panic("floor")
}

// newGatedCluster returns a cluster whose upstream takes startup for each connection and
// answers all statements.
func newGatedCluster(t *testing.T, startup time.Duration) *gatedCluster {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := lineproto.NewReader(conn)
				for m, err := r.Read(); err == nil; m, err = r.Read() {
					if m.Word == lineproto.Startup {
						time.Sleep(startup)
					} else {
						_, _ = conn.Write([]byte("COMPLETE s\r\n"))
					}
					_, _ = conn.Write([]byte("READY I 1.1\r\n"))
				}
			}()
		}
	}()
	p := upstreampool.New(upstreampool.Upstream{ID: "i-1", Service: "s", Address: l.Addr().String(), Slots: 1}, connlimit.Share{Base: 2, Max: 2})
	p.UseGate(upstreampool.NewGateMetrics(metrics.NewRegistry()))
	return &gatedCluster{pool: p}
}

func place() Place {
	now := time.Now()
	return Place{Upstream: "i-1", Workspace: "w", Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

// inUse returns the number of slots and connections of a pool that are in use or waited for.
func inUse(p *upstreampool.Pool) int {
	s := p.Stats()
	return s.Open - s.Idle + s.Waiting + p.Figures().InFlight
}

// Guards against slots that are lost when a statement panics.
func TestPanicFreesItsSlot(t *testing.T) {
	c := newGatedCluster(t, 0)
	for range 5 {
		func() {
			defer func() { _ = recover() }()
			_, err := (&Local{Cluster: c}).Run(&Request{Place: place(), Mode: ModeFresh})
			t.Error("no panic: ", err)
		}()
	}
	if n := inUse(c.pool); n != 0 {
		t.Errorf("%d in flight", n)
	}
}

// Guards against a write that is sent to an upstream that was confirmed as the primary
// before a long wait for its slot, and is no more.
func TestPrimaryIsConfirmedAgainAfterAWait(t *testing.T) {
	for _, tt := range []struct {
		startup time.Duration
		confirm []bool
		want    error
	}{
		{2 * maxConfirmationAge, []bool{true, false}, ErrUnconfirmed},
		{2 * maxConfirmationAge, []bool{true, true}, nil},
		{0, []bool{false}, ErrUnconfirmed},
	} {
		c := newGatedCluster(t, tt.startup)
		c.confirm = tt.confirm
		_, err := (&Local{Cluster: c}).Run(&Request{Place: place(), Statement: Statement{ID: "x", Text: "WRITE a b", Write: true}})
		if !errors.Is(err, tt.want) || len(c.confirm) > 0 || inUse(c.pool) != 0 {
			t.Errorf("%+v: %v, %d in flight", tt, err, inUse(c.pool))
		}
	}
}
