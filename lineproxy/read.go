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
	if o.route.Freshness == catalog.FreshPrimary {
		return o.retry(p, &t, o.readPrimary)
	}
	return o.retry(p, &t, o.readFresh)
}

// retry tries a statement until it is answered, or until it is refused because
// no try succeeds in the time that it may wait.
func (o *operation) retry(p *statement, t *timing, try func(*statement, *timing) attempt) reply {
	for {
		r := try(p, t)
		if !r.again {
			return r.reply
		}
		if r.unservable || t.waitLeft() <= 0 {
			return o.refuse(p.id, r.text, retryAfter(&r))
		}
		time.Sleep(min(busyPause, max(t.waitLeft(), 0)))
	}
}

// attempt is the result of one try. again is true when another try may succeed,
// unservable when none will in the time that the request may wait.
type attempt struct {
	reply
	again      bool
	unservable bool
}

// upstreamBusy is the cause of a refusal by an upstream that has no slot.
const upstreamBusy = "upstream busy"

func tryAgain(cause string) attempt {
	return attempt{reply: failure(lineproto.Busy, cause), again: true}
}

func unservable(cause string) attempt {
	return attempt{reply: failure(lineproto.Busy, cause), again: true, unservable: true}
}

func retryAfter(r *attempt) time.Duration {
	if r.unservable {
		return retryPrimary
	}
	return retryBusy
}

// readPrimary reads inside a transaction of its own, because the primary
// refuses the statements of a transaction after it has lost its role, but not
// a read outside of one.
func (o *operation) readPrimary(p *statement, t *timing) attempt {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return unservable("no primary")
	}
	conn, pool, err := o.connect(m.ID, t.waitLeft(), t)
	if err != nil {
		return tryAgain(refusalCause(err))
	}
	stop := o.watch(m.ID)
	a, err := o.readInTx(conn, p, t)
	stop()
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

// hedgeAfter is the part of a route's latency objective after which a read that
// has no answer is sent to another upstream as well.
const (
	hedgePart     = 0.4
	shortestHedge = 50 * time.Millisecond
	longestHedge  = 300 * time.Millisecond
)

func (o *operation) hedgeAfter() time.Duration {
	d := time.Duration(float64(o.route.Objective) * hedgePart)
	return min(max(d, shortestHedge), longestHedge)
}

// readFresh reads on an upstream whose log is proved to be new enough. When one
// refuses, the next is tried; when one is slow, the next is tried besides, and
// the first answer counts.
func (o *operation) readFresh(p *statement, t *timing) attempt {
	floor, ok := o.floor(t)
	if !ok {
		return unservable("freshness cannot be proved")
	}
	candidates := o.cluster.ReadCandidates(o.route.Service, floor, o.workspace)
	results := make(chan attempt, len(candidates))
	timer := time.NewTimer(o.hedgeAfter())
	defer timer.Stop()
	last := unservable("no upstream")
	running, next := 0, 0
	for {
		if running == 0 {
			if next == len(candidates) || next > 0 && t.waitLeft() <= 0 {
				return last
			}
			o.startRead(candidates[next].ID, p, t, results)
			running, next = running+1, next+1
		}
		select {
		case last = <-results:
			running--
			if !last.again {
				return last
			}
		case <-timer.C:
			o.cluster.Suspect(candidates[next-1].ID)
			if next < len(candidates) {
				o.session.server.count("hedged")
				o.startRead(candidates[next].ID, p, t, results)
				running, next = running+1, next+1
				timer.Reset(o.hedgeAfter())
			}
		}
	}
}

func (o *operation) startRead(id model.UpstreamID, p *statement, t *timing, results chan<- attempt) {
	limits, session := *t, o.sessionFloor()
	go func() { results <- o.readOn(id, p, session, &limits) }()
}

// floor returns the position that reads have to see, after asking the primary
// for newer proof if there is none that is young enough.
func (o *operation) floor(t *timing) (floor model.Position, ok bool) {
	floor, _, ok = o.cluster.Floor(o.route.Service, o.route.MaxStaleness, o.sessionFloor())
	if ok {
		return floor, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), t.giveUp)
	defer cancel()
	if !o.cluster.RefreshEvidence(ctx, o.route.Service) {
		return model.Position{}, false
	}
	floor, _, ok = o.cluster.Floor(o.route.Service, o.route.MaxStaleness, o.sessionFloor())
	return floor, ok
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

// readOn reads on one upstream. The position is that of the moment of sending,
// since proof ages while the request waits for a connection. session is the
// session's own position.
func (o *operation) readOn(id model.UpstreamID, p *statement, session model.Position, t *timing) attempt {
	conn, pool, err := o.connect(id, t.waitLeft(), t)
	if err != nil {
		return tryAgain(refusalCause(err))
	}
	text, err := p.textFor(conn, t)
	if err != nil {
		pool.Release(conn, false)
		return tryAgain(refusalCause(err))
	}
	floor, age, ok := o.cluster.Floor(o.route.Service, o.route.MaxStaleness, session)
	if !ok {
		pool.Release(conn, true)
		return tryAgain("freshness cannot be proved")
	}
	start := time.Now()
	a, err := conn.Query(t.deadline, p.id, after(floor, text))
	if err != nil {
		pool.Release(conn, false)
		return o.readBroke(p, id, err)
	}
	pool.Release(conn, a.Ready.State == lineproto.Idle)
	switch a.Code {
	case "":
		pool.Observe(time.Since(start))
	case lineproto.Busy:
		pool.Full()
	}
	return o.readAnswered(p, id, &a, floor, age)
}

func (o *operation) readBroke(p *statement, id model.UpstreamID, err error) attempt {
	o.connectFailed(id, err)
	o.log(p.id, "read lost its connection", func(e *Entry) { e.Str("upstream", string(id)).Err(err) })
	if timedOut(err) {
		return attempt{reply: failure(lineproto.Timeout, "the statement's time limit passed")}
	}
	return tryAgain("connection lost")
}

func (o *operation) readAnswered(p *statement, id model.UpstreamID, a *upstreampool.Answer, floor model.Position, age time.Duration) attempt {
	switch {
	case a.Code == "":
		o.served(id, o.cluster.Now(), a, false)
		o.log(p.id, "read served", func(e *Entry) {
			e.Str("upstream", string(id)).Str("floor", lineproto.FormatPosition(floor)).Dur("proof_age", age)
		})
		return attempt{reply: answered(a)}
	case a.Code == lineproto.Lagging:
		o.cluster.Observe(&replicaset.Event{Kind: replicaset.EventLagging, Upstream: id, Position: floor})
		o.session.server.count("retried.lagging")
		return tryAgain("no upstream has the needed position")
	case a.Code == lineproto.ReadOnly:
		o.cluster.Observe(&replicaset.Event{Kind: replicaset.EventNotPrimary, Upstream: id})
		return tryAgain("no primary")
	case a.Code.NotRun():
		o.session.server.count("retried.busy")
		return tryAgain(upstreamBusy)
	}
	o.log(p.id, "upstream failed the statement", func(e *Entry) { e.Str("upstream", string(id)).Str("code", string(a.Code)) })
	return attempt{reply: answered(a)}
}
