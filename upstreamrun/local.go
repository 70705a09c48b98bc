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

// suspectAfter is how long an upstream may take before it is checked.
const suspectAfter = 200 * time.Millisecond

// Local runs statements over this VM's own connections.
type Local struct {
	Knowledge Knowledge
	// Tracer records a span for each statement; nil records none.
	Tracer trace.Tracer
}

// upstreamSpan names the hop to an upstream.
const upstreamSpan = "upstream"

func (l *Local) startHop(parent string, id model.UpstreamID) telemetry.Hop {
	return telemetry.StartHop(l.Tracer, parent, upstreamSpan, attribute.String("chervilhatch.upstream", string(id)))
}

// Run runs a statement outside of a transaction.
func (l *Local) Run(r *Request) (Outcome, error) {
	conn, pool, err := l.connect(&r.Place, &r.Session)
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	text, err := l.prepare(conn, r, &o)
	if err != nil {
		pool.Release(conn, errors.Is(err, ErrNotProved))
		l.failed(r.Upstream, err)
		return Outcome{}, err
	}
	asked, start := l.Knowledge.Now(), time.Now()
	hop := l.startHop(r.TraceParent, r.Upstream)
	o.Answer, err = l.send(conn, r, text)
	hop.End(err)
	pool.Release(conn, err == nil && o.Ready.State == lineproto.Idle)
	if err != nil {
		l.failed(r.Upstream, err)
		return Outcome{}, err
	}
	observeLoad(pool, &o.Answer, time.Since(start))
	Answered(l.Knowledge, &Seen{Upstream: r.Upstream, SentAt: asked, Floor: o.Floor, Committed: r.Write}, &o.Answer)
	return o, nil
}

// prepare returns the text to send. It proves a read fresh last, since proof ages
// while the request waits for its connection.
func (l *Local) prepare(conn *upstreampool.Conn, r *Request, o *Outcome) (string, error) {
	text, err := textFor(conn, &r.Statement, r.Deadline)
	if err != nil || r.Mode != ModeFresh {
		return text, err
	}
	if err := l.prove(&r.Place, o); err != nil {
		return "", err
	}
	return after(o.Floor, text), nil
}

// prove notes the position that a read has to see now.
func (l *Local) prove(p *Place, o *Outcome) error {
	var proved bool
	o.Floor, o.ProofAge, proved = l.Knowledge.Floor(p.Service, p.Bound, p.Position)
	if !proved {
		return ErrNotProved
	}
	return nil
}

// send sends a statement in its mode.
func (l *Local) send(conn *upstreampool.Conn, r *Request, text string) (upstreampool.Answer, error) {
	stop := l.watch(r.Upstream)
	defer stop()
	if r.Mode == ModePrimary {
		return inTx(conn, r.ID, text, r.Deadline)
	}
	return conn.Query(r.Deadline, r.ID, text)
}

// observeLoad keeps what an answer tells about how busy the upstream is.
func observeLoad(pool *upstreampool.Pool, a *upstreampool.Answer, latency time.Duration) {
	switch a.Code {
	case "":
		pool.Observe(latency)
	case lineproto.Busy:
		pool.Full()
	}
}

// inTx opens a transaction, runs a statement and ends the transaction. The answer
// is that of the statement, with the state after the end.
func inTx(conn *upstreampool.Conn, id, text string, deadline time.Time) (upstreampool.Answer, error) {
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

// connect returns a connection of a workspace with a session's values.
func (l *Local) connect(p *Place, s *upstreampool.SessionState) (*upstreampool.Conn, *upstreampool.Pool, error) {
	pool := l.Knowledge.Pool(p.Upstream)
	if pool == nil {
		return nil, nil, upstreampool.ErrClosed
	}
	ctx, cancel := context.WithDeadline(context.Background(), p.Deadline)
	defer cancel()
	conn, err := pool.Acquire(ctx, upstreampool.Request{
		Workspace: p.Workspace, Session: s.ID, Priority: p.Priority, Wait: max(p.Wait, 0),
	})
	if err == nil {
		if err = conn.Adopt(p.Deadline, s); err == nil {
			return conn, pool, nil
		}
		pool.Release(conn, false)
	}
	l.failed(p.Upstream, err)
	return nil, nil, err
}

// watch has an upstream checked if the returned function is not called soon.
func (l *Local) watch(id model.UpstreamID) (stop func()) {
	timer := time.AfterFunc(suspectAfter, func() { l.Knowledge.Suspect(id) })
	return func() { timer.Stop() }
}

// after prefixes a statement with the position that it has to see.
func after(floor model.Position, text string) string {
	return "AFTER " + lineproto.FormatPosition(floor) + " " + text
}

// textFor returns a statement's text for a connection: executions use the name
// that the statement has there.
func textFor(c *upstreampool.Conn, st *Statement, deadline time.Time) (string, error) {
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
