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
	t := o.timeLimits()
	if o.route.Freshness == catalog.FreshPrimary {
		return o.retry(p, &t, o.readPrimary)
	}
	return o.retry(p, &t, o.readFresh)
}

// retry tries a statement until it is answered, or until it is refused because
// no try succeeds in the time that it may wait.
func (o *operation) retry(p *statement, t *timeLimits, try func(*statement, *timeLimits) attempt) reply {
	for {
		a := try(p, t)
		if !a.canRetry {
			return a.reply
		}
		if a.unavailable || t.remainingWait() <= 0 {
			return o.refuse(p.ID, a.text, retryAfter(&a))
		}
		time.Sleep(min(busyRetryDelay, max(t.remainingWait(), 0)))
	}
}

// attempt is the result of one try. again is true when another try may succeed,
// unservable when none will in the time that the request may wait.
type attempt struct {
	reply
	canRetry    bool
	unavailable bool
}

// upstreamBusy is the cause of a refusal by an upstream that has no slot.
const upstreamBusy = "upstream busy"

func retryable(cause string) attempt {
	return attempt{reply: failure(lineproto.Busy, cause), canRetry: true}
}

func unavailable(cause string) attempt {
	return attempt{reply: failure(lineproto.Busy, cause), canRetry: true, unavailable: true}
}

func retryAfter(a *attempt) time.Duration {
	if a.unavailable {
		return retryAfterNoPrimary
	}
	return retryAfterBusy
}

// readPrimary reads on the primary.
func (o *operation) readPrimary(p *statement, t *timeLimits) attempt {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return unavailable("no primary")
	}
	return o.readOn(o.request(m.ID, upstreamrun.ModePrimary, p, t))
}

// hedgeAfter is the part of a route's latency objective after which a read that
// has no answer is sent to another upstream as well.
const (
	hedgeFraction = 0.4
	minHedgeDelay = 50 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond
)

func (o *operation) hedgeDelay() time.Duration {
	d := time.Duration(float64(o.route.TargetLatency) * hedgeFraction)
	return min(max(d, minHedgeDelay), maxHedgeDelay)
}

// readFresh reads on an upstream whose log is proved to be new enough. When one
// refuses, the next is tried; when one is slow, the next is tried besides, and
// the first answer counts.
func (o *operation) readFresh(p *statement, t *timeLimits) attempt {
	floor, ok := o.floor(t)
	if !ok {
		return unavailable("freshness cannot be proved")
	}
	candidates := o.cluster.ReadCandidates(o.route.Service, floor, o.workspace)
	results := make(chan attempt, len(candidates))
	timer := time.NewTimer(o.hedgeDelay())
	defer timer.Stop()
	last := unavailable("no upstream")
	running, next := 0, 0
	for {
		if running == 0 {
			if next == len(candidates) || next > 0 && t.remainingWait() <= 0 {
				return last
			}
			o.startRead(candidates[next].ID, p, t, results)
			running, next = running+1, next+1
		}
		select {
		case last = <-results:
			running--
			if !last.canRetry {
				return last
			}
		case <-timer.C:
			o.cluster.Suspect(candidates[next-1].ID)
			if next < len(candidates) {
				o.session.server.count("hedged")
				o.startRead(candidates[next].ID, p, t, results)
				running, next = running+1, next+1
				timer.Reset(o.hedgeDelay())
			}
		}
	}
}

// startRead reads on one upstream besides. The session may go on to its next
// request before that ends, so the goroutine gets all that it needs of it.
func (o *operation) startRead(id model.UpstreamID, p *statement, t *timeLimits, results chan<- attempt) {
	r := o.request(id, upstreamrun.ModeFresh, p, t)
	go func() { results <- o.readOn(r) }()
}

// floor returns the position that reads have to see, after asking the primary
// for newer proof if there is none that is young enough.
func (o *operation) floor(t *timeLimits) (floor model.Position, ok bool) {
	floor, _, ok = o.cluster.Floor(o.route.Service, o.route.MaxStaleness, o.sessionFloor())
	if ok {
		return floor, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), t.retryUntil)
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
func (o *operation) request(id model.UpstreamID, mode upstreamrun.Mode, p *statement, t *timeLimits) *upstreamrun.Request {
	return &upstreamrun.Request{Place: o.target(id, t), Statement: p.Statement, Mode: mode, Session: o.sessionState()}
}

// readOn reads on one upstream.
func (o *operation) readOn(r *upstreamrun.Request) attempt {
	out, err := o.cluster.Run(r)
	switch {
	case err == nil:
		return o.handleReadAnswer(r, &out)
	case upstreamrun.Sent(err):
		return o.readConnLost(r, err)
	}
	return retryable(connFailureCause(err))
}

func (o *operation) readConnLost(r *upstreamrun.Request, err error) attempt {
	o.log(r.ID, "read lost its connection", func(e *Entry) { e.Str("upstream", string(r.Upstream)).Err(err) })
	if upstreamrun.TimedOut(err) {
		return attempt{reply: failure(lineproto.Timeout, "the statement's time limit passed")}
	}
	return retryable("connection lost")
}

func (o *operation) handleReadAnswer(r *upstreamrun.Request, a *upstreamrun.Outcome) attempt {
	switch {
	case a.Code == "":
		o.log(r.ID, "read served", func(e *Entry) {
			e.Str("upstream", string(r.Upstream)).Str("holder", string(a.Holder)).Str("floor", lineproto.FormatPosition(a.Floor)).Dur("proof_age", a.ProofAge)
		})
		return attempt{reply: replyFromAnswer(&a.Answer)}
	case a.Code == lineproto.Lagging:
		o.session.server.count("retried.lagging")
		return retryable("no upstream has the needed position")
	case a.Code == lineproto.ReadOnly:
		return retryable("no primary")
	case a.Code.NotRun():
		o.session.server.count("retried.busy")
		return retryable(upstreamBusy)
	}
	o.log(r.ID, "upstream failed the statement", func(e *Entry) { e.Str("upstream", string(r.Upstream)).Str("code", string(a.Code)) })
	return attempt{reply: replyFromAnswer(&a.Answer)}
}
