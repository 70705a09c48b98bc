package upstreamrun

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/telemetry"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// suspectAfter is how long an upstream may take to answer a statement before
// status queries to it are requested.
const suspectAfter = 200 * time.Millisecond

// Local runs statements over this VM's own connections.
type Local struct {
	Cluster Cluster
	// Tracer records a span for each statement. It may be nil.
	Tracer trace.Tracer
	// Usage counts statements. It may be nil.
	Usage UsageCounter
}

// upstreamSpan is the name of the span of a statement sent to an upstream.
const upstreamSpan = "upstream"

func (l *Local) startHop(parent string, id model.UpstreamID) telemetry.Hop {
	return telemetry.StartHop(l.Tracer, parent, upstreamSpan, attribute.String("chervilhatch.upstream", string(id)))
}

// Run runs a statement outside of a transaction.
func (l *Local) Run(r *Request) (Outcome, error) {
	connect := l.connect
	switch {
	case r.Write:
		connect = l.connectToCommit
	case r.Mode == ModePrimary:
		connect = l.connectToPrimary
	}
	c, err := connect(&r.Place, &r.Session)
	if err != nil {
		return Outcome{}, err
	}
	defer c.discard()
	var o Outcome
	text, err := l.prepare(c.conn, r, &o)
	if err != nil {
		c.release(errors.Is(err, ErrNoEvidence))
		l.reportFailure(r.Upstream, err)
		return Outcome{}, err
	}
	sentAt, start := l.Cluster.Now(), time.Now()
	hop := l.startHop(r.TraceParent, r.Upstream)
	o.Answer, err = l.send(c.conn, r, text)
	hop.End(err)
	l.countUsage(r.Workspace, sentAt, &o.Answer, err)
	c.release(err == nil && o.Ready.State == lineproto.Idle)
	if err != nil {
		l.reportFailure(r.Upstream, err)
		return Outcome{}, err
	}
	observeLoad(c.pool, &o.Answer, time.Since(start))
	ReportAnswer(l.Cluster, &SentStatement{Upstream: r.Upstream, SentAt: sentAt, Floor: o.Floor, Committed: r.Write}, &o.Answer)
	if r.Write {
		err = l.confirmCommit(&r.Place, &o.Answer)
	}
	return o, err
}

// confirmCommit returns an error if a commit that the answer acknowledges may be lost.
func (l *Local) confirmCommit(p *Place, a *upstreampool.Answer) error {
	if a.Code != "" || l.Cluster.ConfirmCommit(p, a.Ready.Position) {
		return nil
	}
	return &upstreampool.BrokenError{Upstream: p.Upstream, Sent: true, Err: errCommitUnconfirmed}
}

// prepare returns the text to send. It sets the floor of a read last, since the
// evidence ages while the request waits for its connection.
func (l *Local) prepare(conn *upstreampool.Conn, r *Request, o *Outcome) (string, error) {
	text, err := statementText(conn, &r.Statement, r.Deadline)
	if err != nil || r.Mode != ModeFresh {
		return text, err
	}
	if err := l.setFloor(&r.Place, o); err != nil {
		return "", err
	}
	return withFloor(o.Floor, text), nil
}

// setFloor records in o the position that a read has to see now.
func (l *Local) setFloor(p *Place, o *Outcome) error {
	var ok bool
	o.Floor, o.EvidenceAge, ok = l.Cluster.Floor(p.Service, p.Bound, p.Position)
	if !ok {
		return ErrNoEvidence
	}
	return nil
}

// send sends a statement according to its mode.
func (l *Local) send(conn *upstreampool.Conn, r *Request, text string) (upstreampool.Answer, error) {
	stop := l.suspectIfSlow(r.Upstream)
	defer stop()
	if r.Mode == ModePrimary {
		return queryInTx(conn, r.ID, text, r.Deadline)
	}
	return conn.Query(r.Deadline, r.ID, text)
}

// observeLoad records in the pool what an answer shows about the load of the
// upstream.
func observeLoad(pool *upstreampool.Pool, a *upstreampool.Answer, latency time.Duration) {
	switch a.Code {
	case "":
		pool.ObserveLatency(latency)
	case lineproto.Busy:
		pool.MarkBusy()
	}
}

// queryInTx begins a transaction, runs a statement and rolls the transaction
// back. It returns the answer to the statement with the connection state after
// the rollback.
func queryInTx(conn *upstreampool.Conn, id, text string, deadline time.Time) (upstreampool.Answer, error) {
	a, err := conn.Query(deadline, lineproto.NilValue, "BEGIN")
	if err != nil || a.Code != "" {
		return a, err
	}
	answers, err := conn.Pipeline(deadline, [][2]string{{id, text}, {lineproto.NilValue, "ROLLBACK"}})
	if err != nil {
		return upstreampool.Answer{}, err
	}
	a = answers[0]
	a.Ready.State = answers[1].Ready.State
	return a, nil
}

// pooledConn is a connection acquired from a pool.
type pooledConn struct {
	// conn is nil once the connection has been returned.
	conn *upstreampool.Conn
	pool *upstreampool.Pool
}

// release returns the connection to its pool, unless that has happened already.
func (c *pooledConn) release(reusable bool) {
	if c.conn == nil {
		return
	}
	c.pool.Release(c.conn, reusable)
	c.conn = nil
}

// discard closes the connection unless it has been returned, for instance because of a
// panic.
func (c *pooledConn) discard() { c.release(false) }

// maxConfirmationAge is how long a statement may have waited for its slot since the
// primary was confirmed. It is shorter than a promotion takes.
const maxConfirmationAge = 100 * time.Millisecond

// connectToPrimary is connect for statements that need the primary.
func (l *Local) connectToPrimary(p *Place, s *upstreampool.SessionState) (*pooledConn, error) {
	return l.connectConfirmed(p, s, l.Cluster.ConfirmPrimary)
}

// connectToCommit is connect for statements that commit.
func (l *Local) connectToCommit(p *Place, s *upstreampool.SessionState) (*pooledConn, error) {
	return l.connectConfirmed(p, s, l.Cluster.ConfirmCommits)
}

// connectConfirmed confirms the primary by confirm before it connects, and once more after a
// long wait in the queue of a gate.
func (l *Local) connectConfirmed(p *Place, s *upstreampool.SessionState, confirm func(*Place, model.Time) bool) (*pooledConn, error) {
	confirmedAt := l.Cluster.Now()
	if !confirm(p, confirmedAt) {
		return nil, ErrUnconfirmed
	}
	c, err := l.connect(p, s)
	if err != nil || !c.pool.Gated() {
		return c, err
	}
	if now := l.Cluster.Now(); now.Sub(confirmedAt) > maxConfirmationAge && !confirm(p, now) {
		c.release(true)
		return nil, ErrUnconfirmed
	}
	return c, nil
}

// connect acquires a connection of the workspace and applies the session's
// values to it.
func (l *Local) connect(p *Place, s *upstreampool.SessionState) (*pooledConn, error) {
	pool := l.Cluster.Pool(p.Upstream)
	if pool == nil {
		return nil, upstreampool.ErrClosed
	}
	ctx, cancel := context.WithDeadline(context.Background(), p.Deadline)
	defer cancel()
	conn, err := pool.Acquire(ctx, upstreampool.Request{
		Workspace: p.Workspace, Session: s.ID, Priority: p.Priority, Wait: max(p.Wait, 0),
		Objective: p.Objective, Deadline: p.Deadline, Elsewhere: p.Elsewhere,
	})
	if err == nil {
		c := &pooledConn{conn: conn, pool: pool}
		applied := false
		defer func() {
			if !applied {
				c.discard()
			}
		}()
		if err = conn.ApplySession(p.Deadline, s); err == nil {
			applied = true
			return c, nil
		}
	}
	l.reportFailure(p.Upstream, err)
	return nil, err
}

// suspectIfSlow requests status queries to an upstream unless stop is called
// within suspectAfter.
func (l *Local) suspectIfSlow(id model.UpstreamID) (stop func()) {
	timer := time.AfterFunc(suspectAfter, func() { l.Cluster.Suspect(id) })
	return func() { timer.Stop() }
}

// withFloor prefixes a statement with the position that it has to see.
func withFloor(floor model.Position, text string) string {
	return "AFTER " + lineproto.FormatPosition(floor) + " " + text
}

// statementText returns the text of a statement for a connection. The execution
// of a prepared statement uses its name on that connection.
func statementText(c *upstreampool.Conn, st *Statement, deadline time.Time) (string, error) {
	if st.Shape == "" {
		return st.Text, nil
	}
	name, err := c.Prepare(deadline, st.Write, st.Shape)
	if err != nil {
		return "", err
	}
	text := "EXECUTE " + name
	if st.Arguments != "" {
		text += " " + st.Arguments
	}
	return text, nil
}
