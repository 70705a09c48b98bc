package lineproxy

import (
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// upstreamOverloaded is the cause of refusals if an upstream cannot run the statement in
// time.
const upstreamOverloaded = "upstream overloaded"

// overload is the refusal of a statement by the queue of an upstream.
type overload upstreampool.OverloadedError

// overloadOf returns the refusal that err is, or nil.
func overloadOf(err error) *overload {
	var refused *upstreampool.OverloadedError
	if !errors.As(err, &refused) {
		return nil
	}
	return (*overload)(refused)
}

// log adds what the statement was judged by; nothing for nil.
func (v *overload) log(e *Entry) {
	if v == nil {
		return
	}
	r := &v.Refusal
	e.Str("upstream", string(v.Upstream)).Str("queue", r.Cause.String()).Int("waiting", r.Waiting).
		Dur("estimated_wait", r.Estimate).Dur("service_time", r.Service).Dur("retry_after", r.RetryAfter)
}

// refusedBy returns the attempt that ended with the refusal v. The statement is not
// tried again at once: v says when it is expected to be served.
func refusedBy(v *overload) attempt {
	a := unavailable(upstreamOverloaded)
	a.overload = v
	return a
}

// retryTime returns for how long the statement may still be tried again after a failed
// attempt. If statements are queued by their deadlines, one that found the upstream's own
// queue full goes back to the queue, which refuses it if it is too late.
func (t *timeLimits) retryTime(a *attempt) time.Duration {
	if !t.objective.IsZero() && a.text == upstreamBusy {
		return time.Until(t.deadline)
	}
	return t.remainingWait()
}

// readChoice chooses the upstream for the next attempt at a read, if statements are
// queued by their deadlines: each candidate in turn as long as it expects to serve the
// read within the objective, and then that with the shortest queue.
type readChoice struct {
	candidates []replicaset.Candidate
	// tried is the number of candidates that were tried.
	tried int
	// least is the refusal with the shortest expected wait, nil if there is none.
	least *overload
	// waiting is true once the read waits regardless of its objective.
	waiting bool
}

// next returns the next candidate, and whether the read is to be refused there rather
// than wait beyond its objective. It returns nil if there is none.
func (c *readChoice) next() (candidate *replicaset.Candidate, elsewhere bool) {
	switch {
	case c.tried < len(c.candidates):
		c.tried++
		// The only candidate need not refuse the read.
		c.waiting = len(c.candidates) == 1
		return &c.candidates[c.tried-1], !c.waiting
	case c.least != nil && !c.waiting:
		c.waiting = true
		for i := range c.candidates {
			if c.candidates[i].ID == c.least.Upstream {
				return &c.candidates[i], false
			}
		}
	}
	return nil, false
}

// observe takes account of the refusal of an attempt.
func (c *readChoice) observe(v *overload) {
	if v != nil && (c.least == nil || v.Refusal.Estimate < c.least.Refusal.Estimate) {
		c.least = v
	}
}

// readQueued is readFresh if statements are queued by their deadlines. A hedge runs only
// on an upstream that has a free slot, since most reads without an answer wait for one;
// if none has, the last hedge waits at that with the shortest queue.
func (o *operation) readQueued(candidates []replicaset.Candidate, p *statement, t *timeLimits) attempt {
	choice := readChoice{candidates: candidates}
	results := make(chan attempt, len(candidates)+1)
	timer := time.NewTimer(o.hedgeDelay())
	defer timer.Stop()
	last := unavailable("no upstream")
	for running := 0; ; {
		if running == 0 {
			c, elsewhere := choice.next()
			if c == nil || choice.tried > 1 && last.overload == nil && t.remainingWait() <= 0 {
				return last
			}
			r := o.request(c.ID, upstreamrun.ModeFresh, p, t)
			r.Elsewhere = elsewhere
			o.startRequest(c, r, results)
			running++
		}
		select {
		case last = <-results:
			running--
			if !last.canRetry {
				return last
			}
			choice.observe(last.overload)
		case <-timer.C:
			c, elsewhere := choice.next()
			if c == nil {
				continue
			}
			o.session.server.count("hedged")
			r := o.request(c.ID, upstreamrun.ModeFresh, p, t)
			if r.Elsewhere = elsewhere; elsewhere {
				r.Objective = time.Now()
			}
			o.startRequest(c, r, results)
			running++
			timer.Reset(o.hedgeDelay())
		}
	}
}

// openQueued makes one attempt to start a read-only transaction if statements are queued
// by their deadlines. It returns nil on success.
func (x *transaction) openQueued(candidates []replicaset.Candidate, request string, t *timeLimits) *attempt {
	choice := readChoice{candidates: candidates}
	last := unavailable("no upstream")
	for {
		c, elsewhere := choice.next()
		if c == nil || choice.tried > 1 && last.overload == nil && t.remainingWait() <= 0 {
			return &last
		}
		failed := x.openOn(c.ID, &c.Choice, request, t, elsewhere)
		if failed == nil {
			return nil
		}
		last = *failed
		choice.observe(last.overload)
	}
}
