package linenode

import (
	"context"
	"errors"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/telemetry"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// holderSilence is how long a holder may leave everything unanswered before
	// it is checked; it is above what most statements take.
	holderSilence = 250 * time.Millisecond
	// holderDelay is how much longer than the holder itself an answer may take
	// before the holder is checked.
	holderDelay = 60 * time.Millisecond
	// holderCheckTimeout is how long a check may take on a holder that is fit for
	// use: a VM that is stopped, frozen or slow takes longer.
	holderCheckTimeout = 60 * time.Millisecond
	// holderCheckInterval is the pause between two checks.
	holderCheckInterval = 150 * time.Millisecond
)

// forwarder runs statements over the connections of the upstream's holder, and
// over this VM's own while no holder can be used.
type forwarder struct {
	cluster *cluster
	members *members
	links   *links
	ctx     context.Context

	mu      sync.Mutex
	holders map[model.VMID]*holderState
	loads   map[model.UpstreamID]*forwardedLoad
}

// holderState is what this VM knows of a holder, under the forwarder's mutex.
type holderState struct {
	// down holders get no new statements until a check succeeds.
	down     bool
	checking bool
	// answeredAt is when the holder last answered.
	answeredAt time.Time
}

func newForwarder(ctx context.Context, c *cluster, m *members, l *links) *forwarder {
	return &forwarder{ctx: ctx, cluster: c, members: m, links: l, holders: map[model.VMID]*holderState{}, loads: map[model.UpstreamID]*forwardedLoad{}}
}

// Run runs a statement on an upstream.
func (f *forwarder) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	h, client := f.choose(r.Upstream)
	if client == nil {
		return f.cluster.local.Run(r)
	}
	asked, start := f.cluster.Now(), time.Now()
	hop, forwarded := f.startHop(r.TraceParent, h), *r
	forwarded.TraceParent = hop.TraceParent
	stop := f.watch(h)
	o, report, err := client.Run(&forwarded)
	stop()
	hop.End(err)
	f.heard(h, start, &report, err)
	f.report(r.Upstream, err)
	if err == nil {
		o.Holder = h.vm
		seen := upstreamrun.Seen{Upstream: r.Upstream, AskedAt: asked, Floor: o.Floor, Committed: r.Write}
		upstreamrun.Answered(f.cluster, &seen, &o.Answer)
		f.load(r.Upstream, time.Since(start), &o, &report)
	}
	return o, err
}

// Open starts a transaction on an upstream.
func (f *forwarder) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	h, client := f.choose(r.Upstream)
	if client == nil {
		return f.cluster.local.Open(r)
	}
	asked, start := f.cluster.Now(), time.Now()
	hop, opening := f.startHop(r.TraceParent, h), *r
	opening.TraceParent = hop.TraceParent
	stop := f.watch(h)
	tx, o, report, err := client.Open(&opening)
	stop()
	hop.End(err)
	f.heard(h, start, &report, err)
	f.report(r.Upstream, err)
	if err != nil {
		return nil, o, err
	}
	o.Holder = h.vm
	seen := upstreamrun.Seen{Upstream: r.Upstream, AskedAt: asked, Floor: o.Floor}
	upstreamrun.Answered(f.cluster, &seen, &o.Answer)
	if tx == nil {
		return nil, o, nil
	}
	forwarded := &forwardedTx{Tx: tx, forwarder: f, holder: h}
	forwarded.Upstream, forwarded.ReadOnly = r.Upstream, r.ReadOnly
	return forwarded, o, nil
}

// holderSpan names the hop to a holder.
const holderSpan = "holder"

func (f *forwarder) startHop(parent string, h holderVM) telemetry.Hop {
	return telemetry.StartHop(f.cluster.local.Tracer, parent, holderSpan, attribute.String("chervilhatch.vm", string(h.vm)))
}

// choose returns the holder to use for an upstream and a client for it, or nil if
// this VM's own connections are to be used.
func (f *forwarder) choose(id model.UpstreamID) (holderVM, *holderlink.Client) {
	for _, h := range f.holdersOf(id) {
		if h.vm == f.cluster.self {
			break
		}
		if link := f.usable(h); link != nil {
			f.count("holder.forwarded")
			return h, holderlink.NewClient(h.vm, link)
		}
	}
	return holderVM{}, nil
}

// holdersOf returns the holders of an upstream.
func (f *forwarder) holdersOf(id model.UpstreamID) []holderVM {
	f.cluster.mu.Lock()
	m, ok := f.cluster.replicas.Member(id)
	f.cluster.mu.Unlock()
	if !ok {
		return nil
	}
	return f.members.holdersOf(m.Zone, id)
}

// usable returns the connection to a holder that is fit for use, or nil.
func (f *forwarder) usable(h holderVM) *grpc.ClientConn {
	f.mu.Lock()
	down := f.state(h).down
	f.mu.Unlock()
	if down {
		return nil
	}
	link, err := f.links.get(h.address)
	if err != nil {
		f.cluster.log.Error().Err(err).Str("address", h.address).Msg("holder cannot be called")
		return nil
	}
	if link.GetState() != connectivity.Ready {
		link.Connect()
		return nil
	}
	return link
}

// state returns what is known of a holder, under the mutex.
func (f *forwarder) state(h holderVM) *holderState {
	s := f.holders[h.vm]
	if s == nil {
		s = &holderState{}
		f.holders[h.vm] = s
	}
	return s
}

// watch has a holder checked if it leaves everything unanswered until the
// returned function is called.
func (f *forwarder) watch(h holderVM) (stop func()) {
	start := time.Now()
	timer := time.AfterFunc(holderSilence, func() {
		f.mu.Lock()
		silent := f.state(h).answeredAt.Before(start)
		f.mu.Unlock()
		if silent {
			f.check(h)
		}
	})
	return func() { timer.Stop() }
}

// heard takes over what an answer, or its lack, tells about a holder.
func (f *forwarder) heard(h holderVM, start time.Time, r *holderlink.Report, err error) {
	var unreachable *holderlink.UnreachableError
	lost := errors.As(err, &unreachable)
	took := time.Since(start)
	f.mu.Lock()
	s := f.state(h)
	if lost && !unreachable.Timeout() || r.Stopping {
		s.down = true
	}
	if !lost {
		s.answeredAt = time.Now()
	}
	f.mu.Unlock()
	if lost {
		f.count("holder.lost")
	}
	if lost || r.Stopping || took-r.Spent > holderDelay {
		f.check(h)
	}
}

// check asks a holder until it answers in time and does not stop.
func (f *forwarder) check(h holderVM) {
	f.mu.Lock()
	s := f.state(h)
	busy := s.checking
	s.checking = true
	f.mu.Unlock()
	if busy {
		return
	}
	go func() {
		fit := f.fit(h)
		for !fit && f.ctx.Err() == nil {
			f.setDown(h, true)
			pause.For(f.ctx, holderCheckInterval)
			fit = f.fit(h)
		}
		f.setDown(h, false)
		f.mu.Lock()
		s.checking = false
		f.mu.Unlock()
	}()
}

// fit reports whether a holder can be used, or is none any more.
func (f *forwarder) fit(h holderVM) bool {
	if !f.members.isHolder(h) {
		return true
	}
	link, err := f.links.get(h.address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(f.ctx, holderCheckTimeout)
	defer cancel()
	stopping, err := holderlink.NewClient(h.vm, link).Check(ctx)
	return err == nil && !stopping
}

// setDown notes whether a holder gets new statements.
func (f *forwarder) setDown(h holderVM, down bool) {
	f.mu.Lock()
	s := f.state(h)
	changed := s.down != down
	s.down = down
	if !down {
		s.answeredAt = time.Now()
	}
	f.mu.Unlock()
	if changed {
		f.cluster.log.Info().Str("vm", string(h.vm)).Bool("down", down).Msg("holder of connections changed")
	}
}

// report tells of an upstream that the holder could not reach.
func (f *forwarder) report(id model.UpstreamID, err error) {
	var unreachable *holderlink.UnreachableError
	if err != nil && !errors.As(err, &unreachable) {
		upstreamrun.Failed(f.cluster, id, err)
	}
}

func (f *forwarder) count(name string) {
	metrics.GetOrRegisterCounter(name, f.cluster.registry).Inc(1)
}

// run keeps the connections to holders open until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	for pause.For(ctx, reconnectDelay) {
		for _, h := range f.members.holders() {
			if h.vm != f.cluster.self {
				f.usable(h)
			}
		}
	}
}
