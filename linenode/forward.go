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

// forwarder runs statements through the holder of an upstream's connections, a VM
// whose connections to the upstream all VMs use. While no holder is usable, or if this
// VM is the holder, statements run over this VM's own connections.
type forwarder struct {
	cluster *cluster
	members *members
	links   *links
	// ctx ends when the node stops; it bounds the checks of holders.
	ctx context.Context

	mu sync.Mutex
	// holders is the health of each holder, loads the load of each upstream as
	// measured through its holder. mu guards both.
	holders map[model.VMID]*holderState
	loads   map[model.UpstreamID]*forwardedLoad
	// balancer is nil unless reads are balanced evenly.
	balancer *balancer
}

func newForwarder(ctx context.Context, c *cluster, m *members, l *links) *forwarder {
	return &forwarder{ctx: ctx, cluster: c, members: m, links: l, holders: map[model.VMID]*holderState{}, loads: map[model.UpstreamID]*forwardedLoad{}}
}

// Run runs a statement on an upstream, forwarded to its holder if possible.
func (f *forwarder) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	h, client := f.selectHolder(r.Upstream)
	if client == nil {
		o, err := f.cluster.local.Run(r)
		f.balancer.outcome(r.Upstream, failedOn(o.Code, err))
		return o, err
	}
	call, forwarded := f.begin(h, r.Upstream, r.TraceParent), *r
	forwarded.TraceParent = call.span.TraceParent
	o, report, err := client.Run(&forwarded)
	call.end(&report, err)
	f.balancer.answered(call, &report, failedOn(o.Code, err))
	if err != nil {
		return o, err
	}
	o.Holder = h.vm
	sent := upstreamrun.SentStatement{Upstream: r.Upstream, SentAt: call.sentAt, Floor: o.Floor, Committed: r.Write}
	upstreamrun.ReportAnswer(f.cluster, &sent, &o.Answer)
	if sent.Committed && o.Code == "" {
		f.cluster.recordPassedOn(r.Service, o.Ready.Position)
	}
	f.recordLatency(r.Upstream, time.Since(call.start), &o, &report)
	return o, nil
}

// Open starts a transaction on an upstream, at its holder if possible.
func (f *forwarder) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	h, client := f.selectHolder(r.Upstream)
	if client == nil {
		return f.cluster.local.Open(r)
	}
	call, opening := f.begin(h, r.Upstream, r.TraceParent), *r
	opening.TraceParent = call.span.TraceParent
	tx, o, report, err := client.Open(&opening)
	call.end(&report, err)
	f.balancer.answered(call, &report, failedOn(o.Code, err))
	if err != nil {
		return nil, o, err
	}
	o.Holder = h.vm
	sent := upstreamrun.SentStatement{Upstream: r.Upstream, SentAt: call.sentAt, Floor: o.Floor}
	upstreamrun.ReportAnswer(f.cluster, &sent, &o.Answer)
	if tx == nil {
		return nil, o, nil
	}
	forwarded := &forwardedTx{Tx: tx, forwarder: f, service: r.Service, holder: h}
	forwarded.Upstream, forwarded.ReadOnly = r.Upstream, r.ReadOnly
	return forwarded, o, nil
}

// holderCall is one call to a holder.
type holderCall struct {
	forwarder *forwarder
	holder    holderVM
	upstream  model.UpstreamID
	// sentAt and start are the time just before the call: sentAt on the clock of
	// model.Time, for evidence, start for measuring durations.
	sentAt model.Time
	start  time.Time
	span   telemetry.Hop
	// stopWatch cancels checkUnlessAnswered.
	stopWatch func()
}

// begin records the start of a call; the caller must call end after it.
func (f *forwarder) begin(h holderVM, id model.UpstreamID, parent string) *holderCall {
	f.balancer.sent(id)
	return &holderCall{
		forwarder: f, holder: h, upstream: id, sentAt: f.cluster.Now(), start: time.Now(),
		span: f.startHop(parent, h), stopWatch: f.checkUnlessAnswered(h),
	}
}

// end records what the result of the call shows: about the holder, and, if the holder
// answered with an error, about the upstream.
func (c *holderCall) end(r *holderlink.Report, err error) {
	c.stopWatch()
	c.span.End(err)
	c.forwarder.recordAnswer(c.holder, c.start, r, err)
	var unreachable *holderlink.UnreachableError
	if err != nil && !errors.As(err, &unreachable) {
		upstreamrun.ReportFailure(c.forwarder.cluster, c.upstream, err)
	}
}

// holderSpan is the name of the trace span of a call to a holder.
const holderSpan = "holder"

// startHop starts the trace span of a call to a holder.
func (f *forwarder) startHop(parent string, h holderVM) telemetry.Hop {
	return telemetry.StartHop(f.cluster.local.Tracer, parent, holderSpan, attribute.String("chervilhatch.vm", string(h.vm)))
}

// selectHolder returns the holder to use for an upstream and a client for it. The
// client is nil if this VM's own connections are to be used.
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

// holdersOf returns the holders of an upstream, the first holder first; none if the
// upstream does not exist.
func (f *forwarder) holdersOf(id model.UpstreamID) []holderVM {
	f.cluster.mu.Lock()
	m, ok := f.cluster.replicas.Member(id)
	f.cluster.mu.Unlock()
	if !ok {
		return nil
	}
	return f.members.holdersOf(m.Zone, id)
}

// count increments a counter metric.
func (f *forwarder) count(name string) {
	metrics.GetOrRegisterCounter(name, f.cluster.registry).Inc(1)
}

// run keeps the connections to holders open, so that no statement waits for one, until
// ctx ends.
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
