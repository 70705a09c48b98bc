package lineproxy

import (
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// primaryChanging is the text of the refusal of a transaction whose commit could be lost.
const primaryChanging = "the primary is being changed; the transaction is rolled back"

// transaction is an open transaction of a caller. It holds a connection from its
// first statement on.
type transaction struct {
	*operation
	readOnly bool
	// failed is true once the transaction can no longer commit. It then accepts
	// only COMMIT and ROLLBACK.
	failed bool
	// wrote is true once a write succeeded.
	wrote bool
	// lastRequestID is the ID of the last request, for the log.
	lastRequestID string

	// upstream is the upstream of tx. It is kept after the end of tx.
	upstream model.UpstreamID
	// tx is nil before the first statement and after the transaction ended on the
	// upstream.
	tx upstreamrun.Tx
}

// discard closes the connection; the upstream then rolls back the transaction.
func (x *transaction) discard() {
	if x.tx != nil {
		x.tx.Discard()
		x.tx = nil
	}
}

// rollback rolls back the transaction on the upstream and keeps the connection open.
func (x *transaction) rollback() {
	if x.tx != nil {
		x.tx.Rollback()
		x.tx = nil
	}
}

// runInTx executes one request in an open transaction.
func (s *session) runInTx(p *statement) reply {
	x := s.tx
	x.lastRequestID = p.ID
	switch p.verb {
	case lineproto.VerbBegin, lineproto.VerbBeginRead:
		return s.malformed("a transaction is open")
	case lineproto.VerbRollback:
		x.rollback()
		s.tx = nil
		return success()
	}
	if _, workspace, refusal := s.authorize(s.server.cluster.Catalog()); refusal != nil && refusal.code == lineproto.NoAuth || refusal == nil && workspace != x.workspace {
		x.log(p.ID, "transaction ended", func(e *Entry) { e.Str("cause", "key withdrawn") })
		return s.abortTx(p, failure(lineproto.NoAuth, "the key is not known"))
	}
	t := x.timeLimits()
	if x.tx == nil {
		if r := x.open(p.ID, &t); r != nil {
			return s.abortTx(p, *r)
		}
	}
	if p.verb == lineproto.VerbCommit {
		return s.commit(p, &t)
	}
	return x.statement(s, p, &t)
}

// abortTx rolls back the transaction, marks it as failed and returns r. If the
// request is a COMMIT, the transaction also ends.
func (s *session) abortTx(p *statement, r reply) reply {
	r = s.failTx(r)
	if p.verb == lineproto.VerbCommit {
		s.tx = nil
	}
	return r
}

// open starts the transaction on an upstream, with retries. It returns nil on
// success, and the refusal otherwise.
func (x *transaction) open(id string, t *timeLimits) *reply {
	for {
		r := x.openOnce(id, t)
		if r == nil {
			return nil
		}
		if r.unavailable || t.remainingWait() <= 0 {
			refusal := x.refuse(id, r)
			return &refusal
		}
		time.Sleep(min(busyRetryDelay, max(t.remainingWait(), 0)))
	}
}

// openOnce makes one attempt to start the transaction: on the primary, or on each
// candidate in turn. It returns nil on success.
func (x *transaction) openOnce(id string, t *timeLimits) *attempt {
	if x.requiresPrimary() {
		return x.openOnPrimary(id, t)
	}
	floor, ok := x.floor(t)
	if !ok {
		r := unavailable("freshness cannot be proved")
		return &r
	}
	r := unavailable("no upstream")
	candidates := x.cluster.ReadCandidates(x.route, floor, x.workspace)
	if x.byDeadline {
		return x.openQueued(candidates, id, t)
	}
	for _, c := range candidates {
		failed := x.openOn(c.ID, &c.Choice, id, t, false)
		if failed == nil {
			return nil
		}
		r = *failed
		if t.remainingWait() <= 0 {
			break
		}
	}
	return &r
}

// openOnPrimary makes one attempt to start the transaction on the primary. It
// returns nil on success.
func (x *transaction) openOnPrimary(id string, t *timeLimits) *attempt {
	m, ok := x.awaitPrimary(t)
	if !ok {
		r := unavailable("no primary")
		return &r
	}
	return x.openOn(m.ID, nil, id, t, false)
}

// requiresPrimary reports whether the transaction must run on the primary.
func (x *transaction) requiresPrimary() bool {
	return !x.readOnly || x.route.Freshness == catalog.FreshPrimary
}

// openOn makes one attempt to start the transaction on one upstream. It returns nil on
// success. choice is as for readOn, elsewhere as in upstreamrun.Place.
func (x *transaction) openOn(id model.UpstreamID, choice *replicaset.Choice, request string, t *timeLimits, elsewhere bool) *attempt {
	r := upstreamrun.OpenRequest{
		Place: x.place(id, t), ReadOnly: !x.requiresPrimary(), Session: x.sessionState(), IdleLimit: x.txIdleTimeout,
	}
	r.Elsewhere = elsewhere
	tx, out, err := x.cluster.Open(&r)
	if err != nil {
		failed := notSent(err)
		return &failed
	}
	if tx == nil {
		failed := retryable("the transaction could not be opened")
		return &failed
	}
	x.tx, x.upstream = tx, id
	x.log(request, "transaction opened", func(e *Entry) {
		e.Str("upstream", string(id)).Str("holder", string(out.Holder)).Str("floor", lineproto.FormatPosition(out.Floor)).Dur("proof_age", out.EvidenceAge)
		logChoice(e, choice)
	})
	return nil
}

// send runs a statement in the transaction on the upstream.
func (x *transaction) send(p *statement, t *timeLimits) (upstreampool.Answer, error) {
	return x.tx.Send(&upstreamrun.TxRequest{
		Statement: p.Statement, Wait: max(t.remainingWait(), 0), Deadline: t.deadline,
		Session:     upstreampool.SessionState{ID: x.session.id, Values: x.session.values},
		TraceParent: x.session.traceParent,
	})
}

// statement runs a read or a write in the transaction.
func (x *transaction) statement(s *session, p *statement, t *timeLimits) reply {
	a, err := x.send(p, t)
	if err != nil {
		return s.txConnLost(p, err)
	}
	if a.Code != "" {
		x.logFailure(p, &a)
		return s.failTx(replyFromAnswer(&a))
	}
	x.wrote = x.wrote || p.Write
	return replyFromAnswer(&a)
}

// logFailure logs a statement of the transaction that the upstream answered with an
// error.
func (x *transaction) logFailure(p *statement, a *upstreampool.Answer) {
	x.log(p.ID, "upstream failed the statement", func(e *Entry) {
		e.Str("upstream", string(x.upstream)).Str("code", string(a.Code)).Bool("in_transaction", true)
	})
}

// txConnLost handles the loss of a transaction's connection before COMMIT was sent;
// the upstream then rolls back the transaction.
func (s *session) txConnLost(p *statement, err error) reply {
	x := s.tx
	x.log(p.ID, "transaction lost its connection", func(e *Entry) { e.Str("upstream", string(x.upstream)).Err(err) })
	x.discard()
	x.failed = true
	if v := overloadOf(err); v != nil {
		return failure(lineproto.Aborted, retryText(upstreamOverloaded+"; the transaction is rolled back", v.Refusal.RetryAfter))
	}
	if errors.Is(err, upstreamrun.ErrUnconfirmed) {
		return failure(lineproto.ReadOnly, primaryChanging)
	}
	return failure(lineproto.Aborted, "the connection to the upstream was lost; the transaction is rolled back")
}

// commit sends COMMIT and ends the transaction.
func (s *session) commit(p *statement, t *timeLimits) reply {
	x := s.tx
	a, err := x.send(p, t)
	s.tx = nil
	if err != nil {
		return x.commitConnLost(p, err)
	}
	x.discard()
	if a.Code != "" {
		x.logFailure(p, &a)
		return replyFromAnswer(&a)
	}
	if x.wrote {
		x.recordCommit(a.Ready.Position)
	}
	x.log(p.ID, "transaction committed", func(e *Entry) {
		e.Str("upstream", string(x.upstream)).Str("position", lineproto.FormatPosition(a.Ready.Position))
	})
	return replyFromAnswer(&a)
}

// commitConnLost handles the loss of the connection during COMMIT. The outcome is
// unknown only if COMMIT was sent and the transaction has written.
func (x *transaction) commitConnLost(p *statement, err error) reply {
	x.discard()
	sent := upstreamrun.Sent(err)
	x.log(p.ID, "commit lost its connection", func(e *Entry) {
		e.Str("upstream", string(x.upstream)).Bool("sent", sent).Bool("wrote", x.wrote).Err(err)
	})
	if v := overloadOf(err); v != nil {
		return failure(lineproto.Aborted, retryText(upstreamOverloaded+"; the transaction is rolled back", v.Refusal.RetryAfter))
	}
	if errors.Is(err, upstreamrun.ErrUnconfirmed) {
		return failure(lineproto.ReadOnly, primaryChanging)
	}
	if !sent || !x.wrote {
		return failure(lineproto.Aborted, "the connection to the upstream was lost; nothing is kept")
	}
	x.session.server.count("indoubt")
	return failure(lineproto.InDoubt, "the connection to the upstream was lost during COMMIT; the outcome is unknown")
}
