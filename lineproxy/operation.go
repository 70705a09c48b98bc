package lineproxy

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// defaultTimeout limits a statement of a route without a limit.
	defaultTimeout = 5 * time.Second
	// waitPart is the part of a route's latency objective that a request may
	// wait for a connection or a primary: a refusal after that comes too late
	// for a retry that still meets the objective.
	waitPart = 5
	// shortGap is how long the change of a primary takes by plan; a request
	// waits only while the gap is shorter.
	shortGap = 150 * time.Millisecond
	// suspectAfter is how long an upstream may take before it is checked.
	suspectAfter = 200 * time.Millisecond
	// busyPause is the pause before a statement that found no slot is sent again.
	busyPause = 12 * time.Millisecond
	// primaryPoll is how often a waiting request looks for a primary.
	primaryPoll = 10 * time.Millisecond
	// retryPrimary and retryBusy are what callers are told to wait: the time
	// that a promotion and a busy moment usually take.
	retryPrimary = 400 * time.Millisecond
	retryBusy    = 100 * time.Millisecond
)

// operation is one statement or transaction of a caller.
type operation struct {
	session   *session
	cluster   Cluster
	route     *catalog.Route
	workspace model.Workspace
	version   uint64
	idleLimit time.Duration
	started   time.Time
	// values are those of the session at the start; the map never changes.
	values   map[string]string
	attempts atomic.Int32
}

func newOperation(s *session, route *catalog.Route, w model.Workspace, c *catalog.Snapshot) *operation {
	return &operation{
		session: s, cluster: s.server.cluster, route: route, workspace: w,
		version: c.Version, idleLimit: c.Limits.TxIdle, started: time.Now(), values: s.values,
	}
}

// who is the name under which upstreams know the workspace.
func (o *operation) who() string {
	if o.workspace == "" {
		return lineproto.OwnID
	}
	return string(o.workspace)
}

// timing has the limits of one statement.
type timing struct {
	// deadline ends the statement, giveUp ends the wait for a place to run it.
	deadline time.Time
	giveUp   time.Time
}

func (o *operation) timing() timing {
	now := time.Now()
	limit := o.route.StatementTimeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	wait := o.route.Objective / waitPart
	if wait <= 0 || wait > limit {
		wait = limit / waitPart
	}
	return timing{deadline: now.Add(limit), giveUp: now.Add(wait)}
}

func (t *timing) waitLeft() time.Duration { return time.Until(t.giveUp) }

func retryText(cause string, after time.Duration) string {
	return cause + "; retry after " + strconv.FormatInt(max(after.Milliseconds(), 1), 10) + " ms"
}

// refuse ends an operation that has not run.
func (o *operation) refuse(id string, cause string, after time.Duration) reply {
	o.cluster.Return(o.workspace)
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

// connect returns a connection of the operation's workspace to an upstream,
// with the session's values.
func (o *operation) connect(id model.UpstreamID, wait time.Duration, t *timing) (*upstreampool.Conn, *upstreampool.Pool, error) {
	pool := o.cluster.Pool(id)
	if pool == nil {
		return nil, nil, upstreampool.ErrClosed
	}
	o.attempts.Add(1)
	request := upstreampool.Request{
		Workspace: o.who(), Session: o.session.id, Priority: o.route.Priority, Wait: max(wait, 0),
	}
	ctx, cancel := context.WithDeadline(context.Background(), t.deadline)
	defer cancel()
	conn, err := pool.Acquire(ctx, request)
	if err != nil {
		o.connectFailed(id, err)
		return nil, nil, err
	}
	state := upstreampool.SessionState{ID: o.session.id, Values: o.values}
	if err := conn.Adopt(t.deadline, &state); err != nil {
		pool.Release(conn, false)
		o.connectFailed(id, err)
		return nil, nil, err
	}
	return conn, pool, nil
}

// connectFailed reports an upstream that could not be reached. A connection
// that broke later says little about the upstream, which is then checked.
func (o *operation) connectFailed(id model.UpstreamID, err error) {
	var broken *upstreampool.BrokenError
	var refused *upstreampool.RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Replaced() {
			o.cluster.Observe(&replicaset.Event{Kind: replicaset.EventReplaced, Upstream: id})
		}
	case errors.As(err, &broken):
		if broken.Dialing {
			o.cluster.Observe(&replicaset.Event{
				Kind: replicaset.EventFailed, Upstream: id, Refused: errors.Is(err, syscall.ECONNREFUSED),
			})
		}
		o.cluster.Suspect(id)
	}
}

// watch has an upstream checked if the returned function is not called soon.
func (o *operation) watch(id model.UpstreamID) (stop func()) {
	timer := time.AfterFunc(suspectAfter, func() { o.cluster.Suspect(id) })
	return func() { timer.Stop() }
}

// textFor returns a statement's text for a connection: executions use the name
// that the statement has there.
func (p *statement) textFor(c *upstreampool.Conn, t *timing) (string, error) {
	if p.shape == "" {
		return p.text, nil
	}
	name, err := c.Prepare(t.deadline, p.write, p.shape)
	if err != nil {
		return "", err
	}
	text := "EXECUTE " + name
	if p.arguments != "" {
		text += " " + p.arguments
	}
	return text, nil
}

// awaitPrimary returns the primary. It waits only in a gap that is as short as
// that of a planned change.
func (o *operation) awaitPrimary(t *timing) (replicaset.Member, bool) {
	for {
		m, ok := o.cluster.Primary(o.route.Service)
		if ok || m.ID != "" || t.waitLeft() <= 0 || o.cluster.PrimaryGap(o.route.Service) > shortGap {
			return m, ok
		}
		time.Sleep(min(primaryPoll, max(t.waitLeft(), time.Millisecond)))
	}
}

// served reports an answer of an upstream. Answers that show a commit are proof
// of how far the primary's log reached when they were asked for.
func (o *operation) served(id model.UpstreamID, asked model.Time, a *upstreampool.Answer, committed bool) {
	kind := replicaset.EventServed
	if committed {
		kind = replicaset.EventCommitted
	}
	o.cluster.Observe(&replicaset.Event{Kind: kind, Upstream: id, AskedAt: asked, Position: a.Ready.Position})
}

// answered turns an upstream's answer into a reply.
func answered(a *upstreampool.Answer) reply {
	return reply{rows: a.Rows, signature: a.Signature, code: a.Code, text: a.Text, position: a.Ready.Position}
}

func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// brokenAfterSend reports whether a statement may have reached the upstream.
func brokenAfterSend(err error) bool {
	var broken *upstreampool.BrokenError
	return !errors.As(err, &broken) || broken.Sent
}
