package lineproxy

import (
	"errors"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// write runs a single statement that changes data. It is retried only if it has
// certainly not run.
func (o *operation) write(p *statement) reply {
	t := o.timeLimits()
	return o.retry(p, &t, o.writeOnce)
}

// writeOnce makes one attempt to run a write on the primary.
func (o *operation) writeOnce(p *statement, t *timeLimits) attempt {
	m, ok := o.awaitPrimary(t)
	if !ok {
		return unavailable("no primary")
	}
	out, err := o.cluster.Run(o.request(m.ID, upstreamrun.ModePlain, p, t))
	switch {
	case err == nil:
		return o.handleWriteAnswer(p, m.ID, &out)
	case upstreamrun.Sent(err):
		return o.writeConnLost(p, m.ID, err)
	}
	return notSent(err)
}

// writeConnLost handles the loss of the connection after a write was sent. Its outcome
// is unknown, so it is not retried.
func (o *operation) writeConnLost(p *statement, id model.UpstreamID, err error) attempt {
	o.session.server.count("indoubt")
	o.log(p.ID, "outcome unknown", func(e *Entry) { e.Str("upstream", string(id)).Err(err) })
	if upstreamrun.TimedOut(err) {
		return attempt{reply: failure(lineproto.Timeout, "the statement's time limit passed; its outcome is unknown")}
	}
	return attempt{reply: failure(lineproto.InDoubt, "the connection to the upstream was lost; the outcome is unknown")}
}

// handleWriteAnswer returns the attempt that results from the primary's answer.
func (o *operation) handleWriteAnswer(p *statement, id model.UpstreamID, a *upstreamrun.Outcome) attempt {
	switch {
	case a.Code == "":
		o.recordCommit(a.Ready.Position)
		o.log(p.ID, "write served", func(e *Entry) {
			e.Str("upstream", string(id)).Str("holder", string(a.Holder)).Str("position", lineproto.FormatPosition(a.Ready.Position))
		})
		return attempt{reply: replyFromAnswer(&a.Answer)}
	case a.Code == lineproto.ReadOnly:
		o.log(p.ID, "upstream is not the primary", func(e *Entry) { e.Str("upstream", string(id)) })
		return retryable("no primary")
	case a.Code.NotRun():
		return retryable(upstreamBusy)
	}
	o.log(p.ID, "upstream failed the statement", func(e *Entry) { e.Str("upstream", string(id)).Str("code", string(a.Code)) })
	return attempt{reply: replyFromAnswer(&a.Answer)}
}

// recordCommit records the log position of a commit of this operation.
func (o *operation) recordCommit(p model.Position) {
	s := o.session
	if s.positions == nil {
		s.positions = map[catalog.Service]model.Position{}
	}
	s.positions[o.route.Service] = s.positions[o.route.Service].Max(p)
}

// notSent returns the attempt that results from err, the error of a statement that was
// not sent. A statement that has waited for the confirmation of the primary in vain is
// not tried again.
func notSent(err error) attempt {
	if errors.Is(err, upstreamrun.ErrUnconfirmed) {
		return unavailable("primary not confirmed")
	}
	if v := overloadOf(err); v != nil {
		return refusedBy(v)
	}
	return retryable(connFailureCause(err))
}

// connFailureCause returns the cause that a refusal gives for err, the error of a
// statement that was not sent.
func connFailureCause(err error) string {
	var refused *upstreampool.RefusedError
	switch {
	case errors.Is(err, upstreampool.ErrAcquireTimeout):
		return "no free connection"
	case errors.Is(err, upstreampool.ErrBusy):
		return "upstream full"
	case errors.Is(err, upstreampool.ErrWarmingUp):
		return "upstream warming up"
	case errors.Is(err, upstreamrun.ErrNoEvidence):
		return "freshness cannot be proved"
	case errors.As(err, &refused):
		return "upstream refused the connection"
	}
	return "upstream unreachable"
}
