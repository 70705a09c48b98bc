package linenode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// probeTimeout bounds a status query or an order; an upstream answers
	// within milliseconds unless all its slots are busy.
	probeTimeout = 400 * time.Millisecond
	// suspectInterval is the pause between two checks of an upstream that does
	// not answer.
	suspectInterval = 250 * time.Millisecond
	// lateProbes is how many queries in a row may go unanswered on an upstream
	// that accepts connections.
	lateProbes = 3
)

// probes sends status queries and orders to upstreams. Each upstream has one
// connection for it, which is opened when it is needed.
type probes struct {
	cluster *cluster
	mu      sync.Mutex
	links   map[model.UpstreamID]*probeLink
	// suspects are the upstreams that are being checked.
	suspects map[model.UpstreamID]bool
	ctx      context.Context
	cancel   context.CancelFunc
}

// probeLink is the connection to one upstream. Its mutex is held for one query.
type probeLink struct {
	mu   sync.Mutex
	pool *upstreampool.Pool
	// late counts the queries in a row that were not answered in time on a
	// connection that was made.
	late int
	// askedAt is when the last answered query was sent.
	askedAt model.Time
}

func newProbes(c *cluster) *probes {
	ctx, cancel := context.WithCancel(context.Background())
	return &probes{
		cluster: c, links: map[model.UpstreamID]*probeLink{}, suspects: map[model.UpstreamID]bool{},
		ctx: ctx, cancel: cancel,
	}
}

// suspect checks an upstream until it answers or is gone.
func (p *probes) suspect(id model.UpstreamID) {
	p.mu.Lock()
	checked := p.suspects[id]
	p.suspects[id] = true
	p.mu.Unlock()
	if checked {
		return
	}
	go func() {
		defer func() {
			p.mu.Lock()
			delete(p.suspects, id)
			p.mu.Unlock()
		}()
		for failed := false; p.ctx.Err() == nil; failed = true {
			if p.answers(id) {
				if failed {
					p.cluster.log.Info().Str("upstream", string(id)).Msg("upstream answers again")
				}
				return
			}
			if !failed {
				p.cluster.log.Warn().Str("upstream", string(id)).Msg("upstream does not answer")
			}
			pause.For(p.ctx, suspectInterval)
		}
	}()
}

// answers reports whether an upstream answers, or is gone.
func (p *probes) answers(id model.UpstreamID) bool {
	asked := p.cluster.Now()
	err := p.send(p.ctx, id, promotion.CommandStatus, 0)
	if err == nil || errors.Is(err, upstreampool.ErrClosed) {
		return true
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	m, ok := p.cluster.replicas.Member(id)
	return !ok || !m.Failing() && m.ContactAt >= asked
}

// status asks an upstream for its status and reports it. Questions that wait
// for one that was sent after them share its answer.
func (p *probes) status(ctx context.Context, id model.UpstreamID) bool {
	return p.send(ctx, id, promotion.CommandStatus, 0) == nil
}

func (p *probes) link(id model.UpstreamID) (*probeLink, error) {
	p.cluster.mu.Lock()
	m, ok := p.cluster.replicas.Member(id)
	p.cluster.mu.Unlock()
	if !ok {
		return nil, upstreampool.ErrClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[id]
	if l != nil && l.pool.Same(m.Address, m.Incarnation) {
		return l, nil
	}
	if l != nil {
		l.pool.Close()
	}
	l = &probeLink{pool: upstreampool.New(upstreamOf(&m), upstreampool.Share{Base: 0, Most: 1})}
	p.links[id] = l
	return l, nil
}

// send gives an order, or asks for the status only, and reports the answer.
func (p *probes) send(ctx context.Context, id model.UpstreamID, k promotion.CommandKind, term uint64) error {
	l, err := p.link(id)
	if err != nil {
		return err
	}
	before := p.cluster.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if k == promotion.CommandStatus && l.askedAt > before {
		return nil
	}
	asked := p.cluster.Now()
	a, err := l.query(ctx, controlText(k, term))
	metrics.GetOrRegisterCounter("probes."+k.String(), p.cluster.registry).Inc(1)
	if err != nil {
		p.failed(l, id, err)
		return err
	}
	l.late = 0
	if a.Code != "" {
		p.cluster.Observe(&replicaset.Event{Kind: replicaset.EventServed, Upstream: id, Position: a.Ready.Position})
		return fmt.Errorf("%s at upstream %s: %s %s", k, id, a.Code, a.Text)
	}
	status, err := statusOf(&a)
	if err != nil {
		return err
	}
	l.askedAt = asked
	p.cluster.Observe(&replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: asked, Status: status})
	return nil
}

// failed reports a query without an answer. An upstream that accepts connections
// and answers late may be busy, and counts as failing only after several queries.
func (p *probes) failed(l *probeLink, id model.UpstreamID, err error) {
	ev := replicaset.Event{Kind: replicaset.EventFailed, Upstream: id, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	var refused *upstreampool.RefusedError
	var broken *upstreampool.BrokenError
	switch {
	case errors.As(err, &broken) && !broken.Dialing || errors.Is(err, upstreampool.ErrWaited):
		l.late++
		if l.late < lateProbes {
			return
		}
	case errors.As(err, &refused):
		ev.Kind = replicaset.EventServed
		if refused.Replaced() {
			ev.Kind = replicaset.EventReplaced
		}
	}
	p.cluster.Observe(&ev)
}

func (l *probeLink) query(ctx context.Context, text string) (upstreampool.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := l.pool.Acquire(ctx, upstreampool.Request{Workspace: lineproto.NilValue, Wait: probeTimeout})
	if err != nil {
		return upstreampool.Answer{}, err
	}
	deadline, _ := ctx.Deadline()
	a, err := conn.Query(deadline, lineproto.NilValue, text)
	l.pool.Release(conn, err == nil)
	return a, err
}

// controlText returns the text of an order.
func controlText(k promotion.CommandKind, term uint64) string {
	switch k {
	case promotion.CommandPause:
		return lineproto.PauseCommand(term)
	case promotion.CommandResume:
		return lineproto.ResumeCommand
	case promotion.CommandStepDown:
		return lineproto.StepDownCommand(term)
	}
	return lineproto.StatusCommand
}

// statusOf decodes the answer to a status query or an order.
func statusOf(a *upstreampool.Answer) (replicaset.Status, error) {
	row, err := lineproto.ParseStatus(a.Rows)
	return replicaset.Status{
		Primary: row.Primary, Term: row.Term, Received: row.Received, Applied: a.Ready.Position,
		FencedTerm: row.FencedTerm, Lag: row.Lag, Busy: row.Busy, Connections: row.Connections,
	}, err
}

// trim closes the connections that have not been needed for a while.
func (p *probes) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.pool.Trim()
	}
}

func (p *probes) close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.pool.Close()
	}
}
