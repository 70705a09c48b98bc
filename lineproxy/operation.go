package lineproxy

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// defaultTimeout limits a statement of a route without a limit.
	defaultTimeout = 5 * time.Second
	// maxWaitDivisor is the part of a route's latency objective that a request may
	// wait for a connection or a primary: a refusal after that comes too late
	// for a retry that still meets the objective.
	maxWaitDivisor = 5
	// maxPrimaryGap is how long the change of a primary takes by plan; a request
	// waits only while the gap is shorter.
	maxPrimaryGap = 150 * time.Millisecond
	// busyRetryDelay is the pause before a statement that found no slot is sent again.
	busyRetryDelay = 12 * time.Millisecond
	// primaryPollInterval is how often a waiting request looks for a primary.
	primaryPollInterval = 10 * time.Millisecond
	// retryAfterNoPrimary and retryBusy are what callers are told to wait: the time
	// that a promotion and a busy moment usually take.
	retryAfterNoPrimary = 400 * time.Millisecond
	retryAfterBusy      = 100 * time.Millisecond
)

// operation is one statement or transaction of a caller.
type operation struct {
	session       *session
	cluster       Cluster
	route         *catalog.Route
	workspace     model.Workspace
	version       uint64
	txIdleTimeout time.Duration
	started       time.Time
	// values are those of the session at the start; the map never changes.
	values   map[string]string
	attempts atomic.Int32
}

func newOperation(s *session, route *catalog.Route, w model.Workspace, c *catalog.Snapshot) *operation {
	return &operation{
		session: s, cluster: s.server.cluster, route: route, workspace: w,
		version: c.Version, txIdleTimeout: c.Limits.TxIdleTimeout, started: time.Now(), values: s.values,
	}
}

// upstreamWorkspace is the name under which upstreams know the workspace.
func (o *operation) upstreamWorkspace() string {
	if o.workspace == "" {
		return lineproto.NilValue
	}
	return string(o.workspace)
}

// timeLimits has the limits of one statement.
type timeLimits struct {
	// deadline ends the statement, giveUp ends the wait for a place to run it.
	deadline   time.Time
	retryUntil time.Time
}

func (o *operation) timeLimits() timeLimits {
	now := time.Now()
	limit := o.route.StatementTimeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	wait := o.route.TargetLatency / maxWaitDivisor
	if wait <= 0 || wait > limit {
		wait = limit / maxWaitDivisor
	}
	return timeLimits{deadline: now.Add(limit), retryUntil: now.Add(wait)}
}

func (t *timeLimits) remainingWait() time.Duration { return time.Until(t.retryUntil) }

func retryText(cause string, after time.Duration) string {
	return cause + "; retry after " + strconv.FormatInt(max(after.Milliseconds(), 1), 10) + " ms"
}

// refuse ends an operation that has not run.
func (o *operation) refuse(id string, cause string, after time.Duration) reply {
	o.cluster.Refund(o.workspace)
	o.session.server.count("refused." + cause)
	o.log(id, "request refused", func(e *Entry) { e.Str("code", string(lineproto.Busy)).Str("cause", cause) })
	return failure(lineproto.Busy, retryText(cause, after))
}

// log writes a decision about this operation.
func (o *operation) log(id, decision string, fields func(*Entry)) {
	o.session.server.decisions.Info(id, decision, func(e *Entry) {
		e.Str("route", o.route.Name).Str("workspace", string(o.workspace)).
			Uint64("config_version", o.version).Int32("attempts", o.attempts.Load())
		e.Dur("elapsed", time.Since(o.started))
		fields(e)
	})
}

// target describes where and for whom a statement runs.
func (o *operation) target(id model.UpstreamID, t *timeLimits) upstreamrun.Place {
	o.attempts.Add(1)
	return upstreamrun.Place{
		Upstream: id, Service: o.route.Service, Workspace: o.upstreamWorkspace(), Priority: o.route.Priority,
		Wait: max(t.remainingWait(), 0), Deadline: t.deadline, Bound: o.route.MaxStaleness, Position: o.sessionFloor(),
		TraceParent: o.session.traceParent,
	}
}

// sessionState is what the operation's connections have to carry.
func (o *operation) sessionState() upstreampool.SessionState {
	return upstreampool.SessionState{ID: o.session.id, Values: o.values}
}

// awaitPrimary returns the primary. It waits only in a gap that is as short as
// that of a planned change.
func (o *operation) awaitPrimary(t *timeLimits) (replicaset.Member, bool) {
	for {
		m, ok := o.cluster.Primary(o.route.Service)
		if ok || m.ID != "" || t.remainingWait() <= 0 || o.cluster.PrimaryGap(o.route.Service) > maxPrimaryGap {
			return m, ok
		}
		time.Sleep(min(primaryPollInterval, max(t.remainingWait(), time.Millisecond)))
	}
}

// replyFromAnswer turns an upstream's answer into a reply.
func replyFromAnswer(a *upstreampool.Answer) reply {
	return reply{rows: a.Rows, signature: a.Signature, code: a.Code, text: a.Text, position: a.Ready.Position}
}
