package lineproxy

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
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
			return o.refuse(p.ID, r.text, retryAfter(&r))
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

// readPrimary reads on the primary.
func (o *operation) readPrimary(p *statement, t *timing) attempt {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return unservable("no primary")
	}
	return o.readOn(o.request(m.ID, upstreamrun.ModePrimary, p, t))
}

// hedgeAfter is the part of a route's latency objective after which a read that
// has no answer is sent to another upstream as well.
const (
	hedgePart     = 0.4
	shortestHedge = 50 * time.Millisecond
	longestHedge  = 300 * time.Millisecond
)

func (o *operation) hedgeAfter() time.Duration {
	d := time.Duration(float64(o.route.TargetLatency) * hedgePart)
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

// startRead reads on one upstream besides. The session may go on to its next
// request before that ends, so the goroutine gets all that it needs of it.
func (o *operation) startRead(id model.UpstreamID, p *statement, t *timing, results chan<- attempt) {
	r := o.request(id, upstreamrun.ModeFresh, p, t)
	go func() { results <- o.readOn(r) }()
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

// request describes a statement outside of a transaction.
func (o *operation) request(id model.UpstreamID, mode upstreamrun.Mode, p *statement, t *timing) *upstreamrun.Request {
	return &upstreamrun.Request{Place: o.place(id, t), Statement: p.Statement, Mode: mode, Session: o.state()}
}

// readOn reads on one upstream.
func (o *operation) readOn(r *upstreamrun.Request) attempt {
	out, err := o.cluster.Run(r)
	switch {
	case err == nil:
		return o.readAnswered(r, &out)
	case upstreamrun.Sent(err):
		return o.readBroke(r, err)
	}
	return tryAgain(refusalCause(err))
}

func (o *operation) readBroke(r *upstreamrun.Request, err error) attempt {
	o.log(r.ID, "read lost its connection", func(e *Entry) { e.Str("upstream", string(r.Upstream)).Err(err) })
	if upstreamrun.TimedOut(err) {
		return attempt{reply: failure(lineproto.Timeout, "the statement's time limit passed")}
	}
	return tryAgain("connection lost")
}

func (o *operation) readAnswered(r *upstreamrun.Request, a *upstreamrun.Outcome) attempt {
	switch {
	case a.Code == "":
		o.log(r.ID, "read served", func(e *Entry) {
			e.Str("upstream", string(r.Upstream)).Str("holder", string(a.Holder)).Str("floor", lineproto.FormatPosition(a.Floor)).Dur("proof_age", a.EvidenceAge)
		})
		return attempt{reply: answered(&a.Answer)}
	case a.Code == lineproto.Lagging:
		o.session.server.count("retried.lagging")
		return tryAgain("no upstream has the needed position")
	case a.Code == lineproto.ReadOnly:
		return tryAgain("no primary")
	case a.Code.NotRun():
		o.session.server.count("retried.busy")
		return tryAgain(upstreamBusy)
	}
	o.log(r.ID, "upstream failed the statement", func(e *Entry) { e.Str("upstream", string(r.Upstream)).Str("code", string(a.Code)) })
	return attempt{reply: answered(&a.Answer)}
}
