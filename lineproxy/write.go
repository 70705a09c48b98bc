package lineproxy

import (
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// write runs a single statement that changes data. It is sent again only while
// it has certainly not run.
func (o *operation) write(p *statement) reply {
	t := o.timing()
	return o.retry(p, &t, o.writeOnce)
}

func (o *operation) writeOnce(p *statement, t *timing) attempt {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return unservable("no primary")
	}
	conn, pool, err := o.connect(m.ID, t.waitLeft(), t)
	if err != nil {
		return tryAgain(refusalCause(err))
	}
	text, err := p.textFor(conn, t)
	if err != nil {
		pool.Release(conn, false)
		return tryAgain(refusalCause(err))
	}
	asked, start := o.cluster.Now(), time.Now()
	stop := o.watch(m.ID)
	a, err := conn.Query(t.deadline, p.id, text)
	stop()
	if err != nil {
		pool.Release(conn, false)
		return o.writeBroke(p, m.ID, err)
	}
	pool.Observe(time.Since(start))
	pool.Release(conn, a.Ready.State == lineproto.Idle)
	if a.Code == lineproto.Busy {
		pool.Full()
	}
	return o.writeAnswered(p, m.ID, asked, &a)
}

// writeBroke decides about a write whose connection failed.
func (o *operation) writeBroke(p *statement, id model.UpstreamID, err error) attempt {
	o.connectFailed(id, err)
	if !brokenAfterSend(err) {
		return tryAgain("connection lost")
	}
	o.session.server.count("indoubt")
	o.log(p.id, "outcome unknown", func(e *Entry) { e.Str("upstream", string(id)).Err(err) })
	if timedOut(err) {
		return attempt{reply: failure(lineproto.Timeout, "the statement's time limit passed; its outcome is unknown")}
	}
	return attempt{reply: failure(lineproto.InDoubt, "the connection to the upstream was lost; the outcome is unknown")}
}

func (o *operation) writeAnswered(p *statement, id model.UpstreamID, asked model.Time, a *upstreampool.Answer) attempt {
	switch {
	case a.Code == "":
		o.served(id, asked, a, true)
		o.session.committed(a.Ready.Position)
		o.log(p.id, "write served", func(e *Entry) {
			e.Str("upstream", string(id)).Str("position", lineproto.FormatPosition(a.Ready.Position))
		})
		return attempt{reply: answered(a)}
	case a.Code == lineproto.ReadOnly:
		o.cluster.Observe(&replicaset.Event{Kind: replicaset.EventNotPrimary, Upstream: id})
		o.log(p.id, "upstream is not the primary", func(e *Entry) { e.Str("upstream", string(id)) })
		return tryAgain("no primary")
	case a.Code.NotRun():
		return tryAgain(upstreamBusy)
	}
	o.log(p.id, "upstream failed the statement", func(e *Entry) { e.Str("upstream", string(id)).Str("code", string(a.Code)) })
	return attempt{reply: answered(a)}
}

// committed notes a commit of this session.
func (s *session) committed(p model.Position) { s.position = s.position.Max(p) }

// refusalCause names why no connection could be had.
func refusalCause(err error) string {
	var refused *upstreampool.RefusedError
	switch {
	case errors.Is(err, upstreampool.ErrWaited):
		return "no free connection"
	case errors.Is(err, upstreampool.ErrFull):
		return "upstream full"
	case errors.Is(err, upstreampool.ErrWarming):
		return "upstream warming up"
	case errors.As(err, &refused):
		return "upstream refused the connection"
	}
	return "upstream unreachable"
}
