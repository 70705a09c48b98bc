package lineproxy

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// read runs a single read-only statement. It may be retried on other upstreams even
// after it was sent, because the caller gets no part of an answer before the answer
// is complete.
func (o *operation) read(p *statement) reply {
	t := o.timeLimits()
	if o.route.Freshness == catalog.FreshPrimary {
		return o.retry(p, &t, o.readPrimary)
	}
	return o.retry(p, &t, o.readFresh)
}

// retry calls try until the statement is answered. It refuses the statement after an
// attempt that is unavailable, or when the time for retries is used up.
func (o *operation) retry(p *statement, t *timeLimits, try func(*statement, *timeLimits) attempt) reply {
	for {
		a := try(p, t)
		if !a.canRetry {
			return a.reply
		}
		if a.unavailable || t.retryTime(&a) <= 0 {
			return o.refuse(p.ID, &a)
		}
		time.Sleep(min(busyRetryDelay, max(t.retryTime(&a), 0)))
	}
}

// attempt is the result of one attempt to run a statement. If canRetry is true, the
// statement was not answered and may be tried again; reply.text then has the cause.
// unavailable is true in addition if no further attempt is expected to succeed within
// the time for retries.
type attempt struct {
	reply
	canRetry    bool
	unavailable bool
	// overload is set if the upstream could not run the statement in time.
	overload *overload
}

// upstreamBusy is the cause of refusals if the upstream has no free slot.
const upstreamBusy = "upstream busy"

// retryable returns a failed attempt after which the statement may be retried.
func retryable(cause string) attempt {
	return attempt{reply: failure(lineproto.Busy, cause), canRetry: true}
}

// unavailable returns a failed attempt after which the statement is refused at once.
func unavailable(cause string) attempt {
	return attempt{reply: failure(lineproto.Busy, cause), canRetry: true, unavailable: true}
}

// retryAfter returns the retry delay that the caller is told after a failed attempt.
func retryAfter(a *attempt) time.Duration {
	switch {
	case a.overload != nil:
		return a.overload.Refusal.RetryAfter
	case a.unavailable:
		return retryAfterNoPrimary
	}
	return retryAfterBusy
}

// readPrimary runs a read on the primary.
func (o *operation) readPrimary(p *statement, t *timeLimits) attempt {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return unavailable("no primary")
	}
	return o.readOn(o.request(m.ID, upstreamrun.ModePrimary, p, t), nil)
}

// A read without an answer is hedged, that is, also sent to another upstream, after
// hedgeFraction of the route's latency objective, but no earlier than minHedgeDelay
// and no later than maxHedgeDelay.
const (
	hedgeFraction = 0.4
	minHedgeDelay = 50 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond
)

// hedgeDelay returns the time without an answer after which a read is hedged.
func (o *operation) hedgeDelay() time.Duration {
	d := time.Duration(float64(o.route.TargetLatency) * hedgeFraction)
	return min(max(d, minHedgeDelay), maxHedgeDelay)
}

// readFresh runs a read on an upstream whose log is proven to be fresh enough. If an
// upstream refuses the read, the next candidate is tried. If it is slow, the read is
// hedged on the next candidate, and the first answer is returned.
func (o *operation) readFresh(p *statement, t *timeLimits) attempt {
	floor, ok := o.floor(t)
	if !ok {
		return unavailable("freshness cannot be proved")
	}
	candidates := o.cluster.ReadCandidates(o.route, floor, o.workspace)
	if o.byDeadline {
		return o.readQueued(candidates, p, t)
	}
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
			o.startRead(&candidates[next], p, t, results)
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
				o.startRead(&candidates[next], p, t, results)
				running, next = running+1, next+1
				timer.Reset(o.hedgeDelay())
			}
		}
	}
}

// logChoice adds why a read went to its upstream to a log entry.
func logChoice(e *Entry, c *replicaset.Choice) {
	if c == nil || c.Cause == "" {
		return
	}
	e.Str("choice", c.Cause).Dur("estimate", c.Estimate)
	if c.FigureAge >= 0 {
		e.Dur("figure_age", c.FigureAge)
	}
}

// startRead runs a read on one upstream in a goroutine. The session may continue
// with its next request before that returns, so everything that the goroutine needs
// from the session is copied into the request first.
func (o *operation) startRead(c *replicaset.Candidate, p *statement, t *timeLimits, results chan<- attempt) {
	o.startRequest(c, o.request(c.ID, upstreamrun.ModeFresh, p, t), results)
}

// startRequest is startRead for a request to the upstream c.
func (o *operation) startRequest(c *replicaset.Candidate, r *upstreamrun.Request, results chan<- attempt) {
	go func() {
		a := attempt{reply: failure(lineproto.Failed, "internal error")}
		// The log has the error.
		_ = panics.Call(o.session.server.log, "read", func() { a = o.readOn(r, &c.Choice) })
		results <- a
	}()
}

// floor returns the minimum log position of reads. If no evidence is recent enough,
// it first asks the primary for newer evidence. ok is false if freshness cannot be
// proven.
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

// sessionFloor returns the position of the session's last commit if the route
// guarantees that the session's reads see it, and zero otherwise.
func (o *operation) sessionFloor() model.Position {
	if o.route.Freshness == catalog.FreshSession {
		return o.session.positions[o.route.Service]
	}
	return model.Position{}
}

// request returns the request that runs a statement outside of a transaction.
func (o *operation) request(id model.UpstreamID, mode upstreamrun.Mode, p *statement, t *timeLimits) *upstreamrun.Request {
	return &upstreamrun.Request{Place: o.place(id, t), Statement: p.Statement, Mode: mode, Session: o.sessionState()}
}

// readOn runs a read on one upstream. choice says why it goes there, nil if no other
// may serve it.
func (o *operation) readOn(r *upstreamrun.Request, choice *replicaset.Choice) attempt {
	out, err := o.cluster.Run(r)
	switch {
	case err == nil:
		return o.handleReadAnswer(r, choice, &out)
	case upstreamrun.Sent(err):
		return o.readConnLost(r, err)
	}
	return notSent(err)
}

// readConnLost handles the loss of the connection after a read was sent.
func (o *operation) readConnLost(r *upstreamrun.Request, err error) attempt {
	o.log(r.ID, "read lost its connection", func(e *Entry) { e.Str("upstream", string(r.Upstream)).Err(err) })
	if upstreamrun.TimedOut(err) {
		return attempt{reply: failure(lineproto.Timeout, "the statement's time limit passed")}
	}
	return retryable("connection lost")
}

// handleReadAnswer returns the attempt that results from an upstream's answer.
func (o *operation) handleReadAnswer(r *upstreamrun.Request, choice *replicaset.Choice, a *upstreamrun.Outcome) attempt {
	switch {
	case a.Code == "":
		o.log(r.ID, "read served", func(e *Entry) {
			e.Str("upstream", string(r.Upstream)).Str("holder", string(a.Holder)).Str("floor", lineproto.FormatPosition(a.Floor)).Dur("proof_age", a.EvidenceAge)
			logChoice(e, choice)
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
