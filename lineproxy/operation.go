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
	// defaultTimeout is the statement timeout of routes that set none.
	defaultTimeout = 5 * time.Second
	// maxWaitDivisor divides a route's latency objective; the quotient is how long
	// a request may wait for a connection or a primary. If it were refused later,
	// the caller's retry could no longer meet the objective.
	maxWaitDivisor = 5
	// maxPrimaryGap is how long a switchover takes. A request waits for a primary
	// only as long as the service has had none for at most this time.
	maxPrimaryGap = 150 * time.Millisecond
	// busyRetryDelay is the delay before a statement is retried that could not be
	// run, for example because the upstream had no free slot.
	busyRetryDelay = 12 * time.Millisecond
	// primaryPollInterval is the interval at which a waiting request checks for a
	// primary.
	primaryPollInterval = 10 * time.Millisecond
	// retryAfterNoPrimary and retryAfterBusy are the retry delays that callers are
	// told: the usual duration of a promotion and of a load peak.
	retryAfterNoPrimary = 400 * time.Millisecond
	retryAfterBusy      = 100 * time.Millisecond
)

// operation is one statement or transaction of a caller.
type operation struct {
	session   *session
	cluster   Cluster
	route     *catalog.Route
	workspace model.Workspace
	// version is the version of the configuration that the operation runs under.
	version uint64
	// txIdleTimeout is the idle timeout of transactions, 0 if there is none.
	txIdleTimeout time.Duration
	started       time.Time
	// byDeadline is true if the statements wait for upstreams by their objectives and
	// deadlines.
	byDeadline bool
	// values are the session's values when the operation started. The map is
	// never modified.
	values map[string]string
	// attempts counts the attempts to run a statement or to open a transaction.
	attempts atomic.Int32
}

func newOperation(s *session, route *catalog.Route, w model.Workspace, c *catalog.Snapshot) *operation {
	return &operation{
		session: s, cluster: s.server.cluster, route: route, workspace: w,
		version: c.Version, txIdleTimeout: c.Limits.TxIdleTimeout, started: time.Now(), values: s.values,
		byDeadline: s.server.byDeadline && c.Urgent(route.Service),
	}
}

// upstreamWorkspace returns the name of the workspace as upstreams get it.
func (o *operation) upstreamWorkspace() string {
	if o.workspace == "" {
		return lineproto.NilValue
	}
	return string(o.workspace)
}

// timeLimits are the limits of one statement.
type timeLimits struct {
	// deadline is when the statement times out. retryUntil is when the operation
	// stops waiting for a connection or a primary and stops retrying.
	deadline   time.Time
	retryUntil time.Time
	// objective is when the caller should have its answer, zero unless statements are
	// queued by their deadlines.
	objective time.Time
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
	t := timeLimits{deadline: now.Add(limit), retryUntil: now.Add(wait)}
	if o.byDeadline {
		t.objective = t.deadline
		if o.route.TargetLatency > 0 {
			t.objective = now.Add(min(o.route.TargetLatency, limit))
		}
	}
	return t
}

func (t *timeLimits) remainingWait() time.Duration { return time.Until(t.retryUntil) }

func retryText(cause string, after time.Duration) string {
	return cause + "; retry after " + strconv.FormatInt(max(after.Milliseconds(), 1), 10) + " ms"
}

// refuse refunds the token of an operation that has not run and returns the refusal.
func (o *operation) refuse(id string, a *attempt) reply {
	after := retryAfter(a)
	o.cluster.Refund(o.workspace)
	o.session.server.count("refused." + a.text)
	o.log(id, "request refused", func(e *Entry) {
		e.Str("code", string(lineproto.Busy)).Str("cause", a.text)
		a.overload.log(e)
	})
	return failure(lineproto.Busy, retryText(a.text, after))
}

// log logs a decision about this operation.
func (o *operation) log(id, decision string, fields func(*Entry)) {
	o.session.server.decisions.Info(id, decision, func(e *Entry) {
		e.Str("route", o.route.Name).Str("workspace", string(o.workspace)).
			Uint64("config_version", o.version).Int32("attempts", o.attempts.Load())
		e.Dur("elapsed", time.Since(o.started))
		fields(e)
	})
}

// place counts an attempt on an upstream and returns the place of that attempt.
func (o *operation) place(id model.UpstreamID, t *timeLimits) upstreamrun.Place {
	o.attempts.Add(1)
	return upstreamrun.Place{
		Upstream: id, Service: o.route.Service, Workspace: o.upstreamWorkspace(), Priority: o.route.Priority,
		Wait: max(t.remainingWait(), 0), Deadline: t.deadline, Objective: t.objective, Bound: o.route.MaxStaleness, Position: o.sessionFloor(),
		TraceParent: o.session.traceParent,
	}
}

// sessionState returns the session values that the operation's connections must have.
func (o *operation) sessionState() upstreampool.SessionState {
	return upstreampool.SessionState{ID: o.session.id, Values: o.values}
}

// awaitPrimary returns the primary. If none is known, it waits for one as long as
// the time without a primary is no longer than a switchover takes. It does not wait
// for a known primary that is failing or not eligible.
func (o *operation) awaitPrimary(t *timeLimits) (replicaset.Member, bool) {
	for {
		m, ok := o.cluster.Primary(o.route.Service)
		if ok || m.ID != "" || t.remainingWait() <= 0 || o.cluster.PrimaryGap(o.route.Service) > maxPrimaryGap {
			return m, ok
		}
		time.Sleep(min(primaryPollInterval, max(t.remainingWait(), time.Millisecond)))
	}
}

// replyFromAnswer returns the reply that passes on an upstream's answer.
func replyFromAnswer(a *upstreampool.Answer) reply {
	return reply{rows: a.Rows, signature: a.Signature, code: a.Code, text: a.Text, position: a.Ready.Position}
}
