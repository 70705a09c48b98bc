// Package line tests VMs whose callers and upstreams speak the line protocol
// against stand-ins of the platform and of a database group.
package line

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/linenode"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

// fixture is a deployment in this process.
type fixture struct {
	*linetest.Platform
	t       *testing.T
	nodes   []*linenode.Node
	callers []string
	// grace is the time that a VM has to stop.
	grace time.Duration
	// spreadZones puts the VMs into the zones of the upstreams in turn.
	spreadZones bool
	// tracer records spans if it is not nil.
	tracer trace.Tracer
}

// zone returns the zone of a VM.
func (f *fixture) zone(vm int) model.Zone {
	if !f.spreadZones {
		return "zone-a"
	}
	return model.Zone("zone-" + []string{"a", "b", "c"}[vm%3])
}

func newFixture(t *testing.T, vms int, o linegroup.Options) *fixture {
	t.Helper()
	f := newFixtureWithoutVMs(t, o)
	f.startAll(vms)
	return f
}

// newFixtureWithoutVMs returns a deployment without VMs.
func newFixtureWithoutVMs(t *testing.T, o linegroup.Options) *fixture {
	t.Helper()
	f := newUnconfiguredFixture(t, o)
	f.Setup()
	return f
}

// newUnconfiguredFixture returns a deployment without VMs and configuration.
func newUnconfiguredFixture(t *testing.T, o linegroup.Options) *fixture {
	f := &fixture{Platform: linetest.NewPlatform(t, o), t: t, grace: time.Second}
	t.Cleanup(f.stopAll)
	return f
}

// stopAll stops all VMs at the same time.
func (f *fixture) stopAll() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(n.Stop)
	}
	wg.Wait()
}

// startAll runs VMs and waits until they are ready.
func (f *fixture) startAll(vms int) {
	f.t.Helper()
	for i := range vms {
		f.start(i)
	}
	f.WaitFor("all VMs ready", func() bool {
		for _, n := range f.nodes {
			if n.Ready() != nil {
				return false
			}
		}
		return true
	})
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start runs one VM.
func (f *fixture) start(i int) {
	registry := metrics.NewRegistry()
	vm := model.VMID(fmt.Sprintf("vm-%d", i))
	callers, peers := listen(f.t), listen(f.t)
	n := linenode.New(linenode.Options{
		VM: vm, Zone: f.zone(i), PeerAddress: peers.Addr().String(),
		Callers: callers, Peers: peers, Ready: listen(f.t),
		Store:    platform.NewStore(f.Store.Address(), time.Second, time.Second, registry),
		Promoter: platform.NewPromoter(f.Store.Address(), time.Second, vm, registry),
		Formats:  platform.Formats(),
		Grace:    f.grace, Log: zerolog.New(io.Discard), Registry: registry, Tracer: f.tracer,
	})
	n.Start()
	f.nodes = append(f.nodes, n)
	f.callers = append(f.callers, callers.Addr().String())
}

func (f *fixture) dial(vm int, database string) *linetest.Caller {
	f.t.Helper()
	return linetest.OpenSession(f.t, f.callers[vm], database)
}

// writers writes on all VMs until stop is called, and keeps what callers were told.
type writers struct {
	*linetest.Outcomes
	stopped chan struct{}
	wg      sync.WaitGroup
}

func (f *fixture) startWriters(n int) *writers {
	w := &writers{Outcomes: linetest.NewOutcomes(), stopped: make(chan struct{})}
	for i := range n {
		c := f.dial(i%len(f.callers), "own")
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			w.runCaller(c, i%2 == 0)
		}()
	}
	return w
}

// runCaller writes single statements or transactions.
func (w *writers) runCaller(c *linetest.Caller, singleStatements bool) {
	for {
		select {
		case <-w.stopped:
			return
		default:
		}
		var ids []string
		var last linetest.Result
		if singleStatements {
			last = c.Query("WRITE item data")
			ids = append(ids, last.ID)
		} else {
			last, ids = c.Transaction()
		}
		if last.Broken {
			return
		}
		w.Record(&last, ids)
		time.Sleep(2 * time.Millisecond)
	}
}

func (w *writers) stop() {
	close(w.stopped)
	w.wg.Wait()
}
