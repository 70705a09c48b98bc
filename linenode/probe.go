package linenode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// probeTimeout is the timeout of a status query or a command. An upstream answers
	// within milliseconds unless all its slots are busy.
	probeTimeout = 400 * time.Millisecond
	// suspectInterval is the pause between two status queries to an upstream that does
	// not answer.
	suspectInterval = 250 * time.Millisecond
	// busyProbeAttempts is how often a status query is sent to an upstream that has no
	// free slot, and busyProbeDelay the pause in between: about the time in which a slot
	// becomes free.
	busyProbeAttempts = 4
	busyProbeDelay    = 12 * time.Millisecond
	// maxLateProbes is the number of consecutive unanswered queries after which an
	// upstream that accepts connections counts as failing. After fewer it may only be
	// busy.
	maxLateProbes = 3
)

// probeError is the error of a command or status query that an upstream refused.
type probeError struct {
	command  promotion.CommandKind
	upstream model.UpstreamID
	code     lineproto.Code
	text     string
}

// Error returns the command, the upstream, and its answer.
func (e *probeError) Error() string {
	return fmt.Sprintf("%s at upstream %s: %s %s", e.command, e.upstream, e.code, e.text)
}

// busy reports whether an upstream refused a status query because it had no free slot.
func busy(err error) bool {
	var refused *probeError
	return errors.As(err, &refused) && refused.code == lineproto.Busy
}

// probes sends status queries and commands to upstreams, over a connection of its own
// to each upstream, which is opened on demand.
type probes struct {
	cluster *cluster
	mu      sync.Mutex
	// links has the connection to each upstream; mu guards it and suspects.
	links map[model.UpstreamID]*probeLink
	// suspects are the upstreams that get status queries until they answer; see
	// suspect.
	suspects map[model.UpstreamID]bool
	// ctx ends these queries when the node stops.
	ctx    context.Context
	cancel context.CancelFunc
}

// probeLink is the connection to one upstream. Its mutex is held during a query, so
// that queries run one at a time.
type probeLink struct {
	mu sync.Mutex
	// pool has at most one connection.
	pool *upstreampool.Pool
	// lateCount is the number of consecutive queries that were not answered in time.
	// Queries whose attempt to connect failed are not counted.
	lateCount int
	// lastSentAt is the time when the last answered query was sent.
	lastSentAt model.Time
}

func newProbes(c *cluster) *probes {
	ctx, cancel := context.WithCancel(context.Background())
	return &probes{
		cluster: c, links: map[model.UpstreamID]*probeLink{}, suspects: map[model.UpstreamID]bool{},
		ctx: ctx, cancel: cancel,
	}
}

// suspect starts status queries to an upstream that continue until it answers or no
// longer exists. It does nothing if they are already running.
func (p *probes) suspect(id model.UpstreamID) {
	p.mu.Lock()
	alreadyChecking := p.suspects[id]
	p.suspects[id] = true
	p.mu.Unlock()
	if alreadyChecking {
		return
	}
	panics.Go(p.cluster.log, "status queries to an upstream", func() {
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
	})
}

// answers reports whether an upstream answers a status query, has answered another
// request in the meantime, or no longer exists.
func (p *probes) answers(id model.UpstreamID) bool {
	sentAt := p.cluster.Now()
	err := p.send(p.ctx, id, promotion.CommandStatus, 0)
	if err == nil || errors.Is(err, upstreampool.ErrClosed) {
		return true
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	m, ok := p.cluster.replicas.Member(id)
	return !ok || !m.Failing() && m.ContactAt >= sentAt
}

// status queries the status of an upstream and reports whether it answered. While the
// upstream has no free slot, it is asked again, for up to busyProbeAttempts in total.
func (p *probes) status(ctx context.Context, id model.UpstreamID) bool {
	for range busyProbeAttempts {
		err := p.send(ctx, id, promotion.CommandStatus, 0)
		if err == nil {
			return true
		}
		if !busy(err) {
			return false
		}
		pause.For(ctx, busyProbeDelay)
	}
	return false
}

// link returns the connection to an upstream, a new one if the upstream has restarted
// or moved.
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
	if l != nil && l.pool.ConnectsTo(m.Address, m.Incarnation) {
		return l, nil
	}
	if l != nil {
		l.pool.Close()
	}
	l = &probeLink{pool: upstreampool.New(poolUpstream(&m), connlimit.Share{Max: 1})}
	p.links[id] = l
	return l, nil
}

// send sends a command or a status query to an upstream and applies the status in the
// answer. A status query that waited for another one, which was sent after send was
// called, shares its answer.
func (p *probes) send(ctx context.Context, id model.UpstreamID, k promotion.CommandKind, term uint64) error {
	l, err := p.link(id)
	if err != nil {
		return err
	}
	before := p.cluster.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if k == promotion.CommandStatus && l.lastSentAt > before {
		return nil
	}
	sentAt := p.cluster.Now()
	a, err := l.query(ctx, commandText(k, term))
	metrics.GetOrRegisterCounter("probes."+k.String(), p.cluster.registry).Inc(1)
	if err != nil {
		p.recordFailure(l, id, err)
		return err
	}
	l.lateCount = 0
	if a.Code != "" {
		p.cluster.Observe(&replicaset.Event{Kind: replicaset.EventServed, Upstream: id, Position: a.Ready.Position})
		return &probeError{command: k, upstream: id, code: a.Code, text: a.Text}
	}
	status, err := statusOf(&a)
	if err != nil {
		return err
	}
	l.lastSentAt = sentAt
	p.cluster.Observe(&replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: sentAt, Status: status})
	return nil
}

// recordFailure applies an event for a query that was not answered or was refused. An
// upstream that accepts connections but answers late may be busy, and counts as
// failing only after maxLateProbes queries.
func (p *probes) recordFailure(l *probeLink, id model.UpstreamID, err error) {
	ev := replicaset.Event{Kind: replicaset.EventFailed, Upstream: id, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	var refused *upstreampool.RefusedError
	var broken *upstreampool.BrokenError
	switch {
	case errors.As(err, &broken) && !broken.Dialing || errors.Is(err, upstreampool.ErrAcquireTimeout):
		l.lateCount++
		if l.lateCount < maxLateProbes {
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

// query sends a text to the upstream and returns the answer. The caller holds mu.
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

// commandText returns the line protocol text of a command or status query.
func commandText(k promotion.CommandKind, term uint64) string {
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

// statusOf decodes the answer to a command or status query.
func statusOf(a *upstreampool.Answer) (replicaset.Status, error) {
	row, err := lineproto.ParseStatus(a.Rows)
	return replicaset.Status{
		Primary: row.Primary, Term: row.Term, Received: row.Received, Applied: a.Ready.Position,
		FencedTerm: row.FencedTerm, Lag: row.Lag, Busy: row.Busy, Connections: row.Connections,
	}, err
}

// trim closes connections that have been idle for a while.
func (p *probes) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.pool.Trim()
	}
}

// close ends the status queries and closes all connections.
func (p *probes) close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.pool.Close()
	}
}
