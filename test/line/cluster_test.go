// Package line tests VMs whose callers and upstreams speak the line protocol. The
// VMs run in the test process against stand-ins for the platform and a database
// group.
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
	"github.com/chervilhatch/chervilhatch/core/usage"
	"github.com/chervilhatch/chervilhatch/linenode"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

// fixture is a deployment in the test process.
type fixture struct {
	*linetest.Platform
	t       *testing.T
	nodes   []*linenode.Node
	callers []string
	// grace bounds the graceful stop of a VM.
	grace time.Duration
	// spreadZones distributes the VMs round-robin over the zones of the upstreams;
	// otherwise all are in zone-a.
	spreadZones bool
	// usage configures reports of usage; nil disables them.
	usage *usage.Settings
	// tracer creates the spans of the VMs; nil disables tracing.
	tracer trace.Tracer
}

// zone returns the zone of a VM.
func (f *fixture) zone(vm int) model.Zone {
	if !f.spreadZones {
		return "zone-a"
	}
	return model.Zone("zone-" + []string{"a", "b", "c"}[vm%3])
}

// newFixture returns a configured deployment whose VMs are ready.
func newFixture(t *testing.T, vms int, o linegroup.Options) *fixture {
	t.Helper()
	f := newFixtureWithoutVMs(t, o)
	f.startAll(vms)
	return f
}

// newFixtureWithoutVMs returns a configured deployment without VMs.
func newFixtureWithoutVMs(t *testing.T, o linegroup.Options) *fixture {
	t.Helper()
	f := newUnconfiguredFixture(t, o)
	f.Setup()
	return f
}

// newUnconfiguredFixture returns a deployment without VMs, whose upstreams are not
// registered and which has no configuration.
func newUnconfiguredFixture(t *testing.T, o linegroup.Options) *fixture {
	f := &fixture{Platform: linetest.NewPlatform(t, o), t: t, grace: time.Second}
	t.Cleanup(f.stopAll)
	return f
}

// stopAll stops all VMs concurrently.
func (f *fixture) stopAll() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(n.Stop)
	}
	wg.Wait()
}

// startAll starts the given number of VMs and waits until all are ready.
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

// start starts the VM with index i.
func (f *fixture) start(i int) {
	registry := metrics.NewRegistry()
	vm := model.VMID(fmt.Sprintf("vm-%d", i))
	callers, peers := listen(f.t), listen(f.t)
	promoter := platform.NewPromoter(f.Store.Address(), time.Second, vm, registry)
	o := linenode.Options{
		VM: vm, Zone: f.zone(i), PeerAddress: peers.Addr().String(),
		Callers: callers, Peers: peers, Ready: listen(f.t),
		Store:    platform.NewStore(f.Store.Address(), time.Second, time.Second, registry),
		Promoter: promoter,
		Formats:  platform.Formats(),
		Grace:    f.grace, Log: zerolog.New(io.Discard), Registry: registry, Tracer: f.tracer,
	}
	if f.usage != nil {
		o.Usage = &linenode.UsageOptions{Settings: *f.usage, LeasePeriod: 3 * time.Second, Reporter: promoter, Refused: platform.ErrUsageFenced}
	}
	n := linenode.New(o)
	n.Start()
	f.nodes = append(f.nodes, n)
	f.callers = append(f.callers, callers.Addr().String())
}

func (f *fixture) dial(vm int, database string) *linetest.Caller {
	f.t.Helper()
	return linetest.OpenSession(f.t, f.callers[vm], database)
}

// writers are callers on all VMs that write until stop is called, and record the
// outcomes of their writes.
type writers struct {
	*linetest.Outcomes
	stopped chan struct{}
	wg      sync.WaitGroup
}

// startWriters starts n callers that write.
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

// runCaller writes until stop is called or the session breaks: single statements if
// singleStatements is true, transactions otherwise.
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
