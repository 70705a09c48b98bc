package linenode

import (
	"context"
	"errors"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/telemetry"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
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

func newForwarder(ctx context.Context, c *cluster, m *members, l *links) *forwarder {
	return &forwarder{ctx: ctx, cluster: c, members: m, links: l, holders: map[model.VMID]*holderState{}, loads: map[model.UpstreamID]*forwardedLoad{}}
}

// Run runs a statement on an upstream.
func (f *forwarder) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	h, client := f.selectHolder(r.Upstream)
	if client == nil {
		return f.cluster.local.Run(r)
	}
	call, forwarded := f.begin(h, r.Upstream, r.TraceParent), *r
	forwarded.TraceParent = call.span.TraceParent
	o, report, err := client.Run(&forwarded)
	call.end(&report, err)
	if err != nil {
		return o, err
	}
	o.Holder = h.vm
	seen := upstreamrun.Seen{Upstream: r.Upstream, SentAt: call.sentAt, Floor: o.Floor, Committed: r.Write}
	upstreamrun.Answered(f.cluster, &seen, &o.Answer)
	f.recordLatency(r.Upstream, time.Since(call.start), &o, &report)
	return o, nil
}

// Open starts a transaction on an upstream.
func (f *forwarder) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	h, client := f.selectHolder(r.Upstream)
	if client == nil {
		return f.cluster.local.Open(r)
	}
	call, opening := f.begin(h, r.Upstream, r.TraceParent), *r
	opening.TraceParent = call.span.TraceParent
	tx, o, report, err := client.Open(&opening)
	call.end(&report, err)
	if err != nil {
		return nil, o, err
	}
	o.Holder = h.vm
	seen := upstreamrun.Seen{Upstream: r.Upstream, SentAt: call.sentAt, Floor: o.Floor}
	upstreamrun.Answered(f.cluster, &seen, &o.Answer)
	if tx == nil {
		return nil, o, nil
	}
	forwarded := &forwardedTx{Tx: tx, forwarder: f, holder: h}
	forwarded.Upstream, forwarded.ReadOnly = r.Upstream, r.ReadOnly
	return forwarded, o, nil
}

// holderCall is one call to a holder.
type holderCall struct {
	forwarder *forwarder
	holder    holderVM
	upstream  model.UpstreamID
	// sentAt is a moment before the call, on the clock of the cluster.
	sentAt    model.Time
	start     time.Time
	span      telemetry.Hop
	stopWatch func()
}

// begin notes the start of a call; end has to be called after it.
func (f *forwarder) begin(h holderVM, id model.UpstreamID, parent string) *holderCall {
	return &holderCall{
		forwarder: f, holder: h, upstream: id, sentAt: f.cluster.Now(), start: time.Now(),
		span: f.startHop(parent, h), stopWatch: f.checkUnlessAnswered(h),
	}
}

// end takes over what the answer, or its lack, tells about the holder, and what an
// answered failure tells about the upstream.
func (c *holderCall) end(r *holderlink.Report, err error) {
	c.stopWatch()
	c.span.End(err)
	c.forwarder.recordAnswer(c.holder, c.start, r, err)
	var unreachable *holderlink.UnreachableError
	if err != nil && !errors.As(err, &unreachable) {
		upstreamrun.Failed(c.forwarder.cluster, c.upstream, err)
	}
}

// holderSpan names the hop to a holder.
const holderSpan = "holder"

func (f *forwarder) startHop(parent string, h holderVM) telemetry.Hop {
	return telemetry.StartHop(f.cluster.local.Tracer, parent, holderSpan, attribute.String("chervilhatch.vm", string(h.vm)))
}

// choose returns the holder to use for an upstream and a client for it, or nil if
// this VM's own connections are to be used.
func (f *forwarder) selectHolder(id model.UpstreamID) (holderVM, *holderlink.Client) {
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

func (f *forwarder) count(name string) {
	metrics.GetOrRegisterCounter(name, f.cluster.registry).Inc(1)
}

// keepConnected keeps the connections to holders open until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	for pause.For(ctx, maxReconnectDelay) {
		holders := f.members.holders()
		f.prune(holders)
		for _, h := range holders {
			if h.vm != f.cluster.self {
				f.usable(h)
			}
		}
	}
}
