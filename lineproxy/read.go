package lineproxy

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// read runs a single statement that changes nothing. It may be tried on several
// upstreams, since nothing reaches the caller before the whole answer is there.
func (o *operation) read(p *statement) reply {
	t := o.timing()
	for {
		var r reply
		var again bool
		if o.route.Freshness == catalog.FreshPrimary {
			r, again = o.readPrimary(p, &t)
		} else {
			r, again = o.readFresh(p, &t)
		}
		if !again {
			return r
		}
		if t.waitLeft() <= 0 {
			return o.refuse(p.id, r.text, retryBusy)
		}
		time.Sleep(min(busyPause, max(t.waitLeft(), 0)))
	}
}

// readPrimary reads inside a transaction of its own, because the primary
// refuses the statements of a transaction after it has lost its role, but not
// a read outside of one.
func (o *operation) readPrimary(p *statement, t *timing) (r reply, again bool) {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return failure(lineproto.Busy, "no primary"), true
	}
	conn, pool, err := o.connect(m.ID, t.waitLeft(), t)
	if err != nil {
		return failure(lineproto.Busy, refusalCause(err)), true
	}
	a, err := o.readInTx(conn, p, t)
	if err != nil {
		pool.Release(conn, false)
		return o.readBroke(p, m.ID, err)
	}
	pool.Release(conn, a.Ready.State == lineproto.Idle)
	return o.readAnswered(p, m.ID, &a, model.Position{}, 0)
}

// readInTx opens a transaction, reads and ends the transaction. The returned
// answer is that of the read, with the state after the end.
func (o *operation) readInTx(conn *upstreampool.Conn, p *statement, t *timing) (upstreampool.Answer, error) {
	text, err := p.textFor(conn, t)
	if err != nil {
		return upstreampool.Answer{}, err
	}
	a, err := conn.Query(t.deadline, lineproto.OwnID, "BEGIN")
	if err != nil || a.Code != "" {
		return a, err
	}
	answers, err := conn.Pipeline(t.deadline, [][2]string{{p.id, text}, {lineproto.OwnID, "ROLLBACK"}})
	if err != nil {
		return upstreampool.Answer{}, err
	}
	a = answers[0]
	a.Ready.State = answers[1].Ready.State
	return a, nil
}

// readFresh reads on an upstream whose log is proved to be new enough.
func (o *operation) readFresh(p *statement, t *timing) (r reply, again bool) {
	floor, age, ok := o.floor(t)
	if !ok {
		return failure(lineproto.Busy, "freshness cannot be proved"), true
	}
	r = failure(lineproto.Busy, "no upstream")
	again = true
	for _, c := range o.cluster.ReadCandidates(o.route.Service, floor, o.workspace) {
		r, again = o.readOn(c.ID, p, floor, age, t)
		if !again || t.waitLeft() <= 0 {
			break
		}
	}
	return r, again
}

// floor returns the position that reads have to see, after asking the primary
// for newer proof if there is none that is young enough.
func (o *operation) floor(t *timing) (floor model.Position, age time.Duration, ok bool) {
	floor, age, ok = o.cluster.Floor(o.route.Service, o.route.MaxStaleness, o.sessionFloor())
	if ok {
		return floor, age, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), t.giveUp)
	defer cancel()
	if !o.cluster.RefreshEvidence(ctx, o.route.Service) {
		return model.Position{}, 0, false
	}
	return o.cluster.Floor(o.route.Service, o.route.MaxStaleness, o.sessionFloor())
}

// sessionFloor is the session's own position where the route promises that its
// reads see it.
func (o *operation) sessionFloor() model.Position {
	if o.route.Freshness == catalog.FreshSession {
		return o.session.position
	}
	return model.Position{}
}

// after prefixes a statement with the position that it has to see.
func after(floor model.Position, text string) string {
	return "AFTER " + lineproto.FormatPosition(floor) + " " + text
}

func (o *operation) readOn(id model.UpstreamID, p *statement, floor model.Position, age time.Duration, t *timing) (r reply, again bool) {
	conn, pool, err := o.connect(id, t.waitLeft(), t)
	if err != nil {
		return failure(lineproto.Busy, refusalCause(err)), true
	}
	text, err := p.textFor(conn, t)
	if err != nil {
		pool.Release(conn, false)
		return failure(lineproto.Busy, refusalCause(err)), true
	}
	start := time.Now()
	a, err := conn.Query(t.deadline, p.id, after(floor, text))
	if err != nil {
		pool.Release(conn, false)
		return o.readBroke(p, id, err)
	}
	pool.Release(conn, a.Ready.State == lineproto.Idle)
	if a.Code == "" {
		pool.Observe(time.Since(start))
	}
	return o.readAnswered(p, id, &a, floor, age)
}

func (o *operation) readBroke(p *statement, id model.UpstreamID, err error) (r reply, again bool) {
	o.connectFailed(id, err)
	o.log(p.id, "read lost its connection", func(e *Entry) { e.Str("upstream", string(id)).Err(err) })
	if timedOut(err) {
		return failure(lineproto.Timeout, "the statement's time limit passed"), false
	}
	return failure(lineproto.Busy, "connection lost"), true
}

func (o *operation) readAnswered(p *statement, id model.UpstreamID, a *upstreampool.Answer, floor model.Position, age time.Duration) (r reply, again bool) {
	switch {
	case a.Code == "":
		o.served(id, o.cluster.Now(), a, false)
		o.log(p.id, "read served", func(e *Entry) {
			e.Str("upstream", string(id)).Str("floor", lineproto.FormatPosition(floor)).Dur("proof_age", age)
		})
		return answered(a), false
	case a.Code == lineproto.Lagging:
		o.cluster.Observe(&replicaset.Event{Kind: replicaset.EventLagging, Upstream: id, Position: floor})
		o.session.server.count("retried.lagging")
		return failure(lineproto.Lagging, "no upstream has the needed position"), true
	case a.Code == lineproto.ReadOnly:
		o.cluster.Observe(&replicaset.Event{Kind: replicaset.EventNotPrimary, Upstream: id})
		return failure(lineproto.Busy, "no primary"), true
	case a.Code.NotRun():
		o.session.server.count("retried.busy")
		return failure(a.Code, "upstream busy"), true
	}
	o.log(p.id, "upstream failed the statement", func(e *Entry) { e.Str("upstream", string(id)).Str("code", string(a.Code)) })
	return answered(a), false
}
