package lineproxy

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// transaction is an open transaction of a caller. It holds a connection from
// its first statement on.
type transaction struct {
	*operation
	readOnly bool
	failed   bool
	wrote    bool
	lastID   string

	upstream model.UpstreamID
	// tx is nil before the first statement and after the end.
	tx upstreamrun.Tx
}

// discard closes the connection, which rolls the transaction back.
func (x *transaction) discard() {
	if x.tx != nil {
		x.tx.Discard()
		x.tx = nil
	}
}

// rollback ends the transaction on the upstream and keeps the connection.
func (x *transaction) rollback() {
	if x.tx != nil {
		x.tx.Rollback()
		x.tx = nil
	}
}

// runInTx executes one request of an open transaction.
func (s *session) runInTx(p *statement) reply {
	x := s.tx
	x.lastID = p.ID
	switch p.verb {
	case lineproto.VerbBegin, lineproto.VerbBeginRead:
		return s.malformed("a transaction is open")
	case lineproto.VerbRollback:
		x.rollback()
		s.tx = nil
		return done()
	}
	if _, workspace, refusal := s.authorize(s.server.cluster.Catalog()); refusal != nil && refusal.code == lineproto.NoAuth || refusal == nil && workspace != x.workspace {
		x.log(p.ID, "transaction ended", func(e *Entry) { e.Str("cause", "key withdrawn") })
		return s.endIfCommit(p, failure(lineproto.NoAuth, "the key is not known"))
	}
	t := x.timing()
	if x.tx == nil {
		if r := x.open(p.ID, &t); r != nil {
			return s.endIfCommit(p, *r)
		}
	}
	if p.verb == lineproto.VerbCommit {
		return s.commit(p, &t)
	}
	return x.statement(s, p, &t)
}

// endIfCommit fails the transaction; a COMMIT also ends it.
func (s *session) endIfCommit(p *statement, r reply) reply {
	r = s.failTx(r)
	if p.verb == lineproto.VerbCommit {
		s.tx = nil
	}
	return r
}

// open starts the transaction on an upstream. The reply is nil on success.
func (x *transaction) open(id string, t *timing) *reply {
	for {
		r := x.openOnce(id, t)
		if r == nil {
			return nil
		}
		if r.unservable || t.waitLeft() <= 0 {
			refusal := x.refuse(id, r.text, retryAfter(r))
			return &refusal
		}
		time.Sleep(min(busyPause, max(t.waitLeft(), 0)))
	}
}

// openOnce makes one attempt; the result is nil on success.
func (x *transaction) openOnce(id string, t *timing) *attempt {
	if x.onPrimary() {
		return x.openPrimary(id, t)
	}
	floor, ok := x.floor(t)
	if !ok {
		r := unservable("freshness cannot be proved")
		return &r
	}
	r := unservable("no upstream")
	for _, c := range x.cluster.ReadCandidates(x.route.Service, floor, x.workspace) {
		if x.openOn(c.ID, id, t) {
			return nil
		}
		r = tryAgain("the transaction could not be opened")
		if t.waitLeft() <= 0 {
			break
		}
	}
	return &r
}

func (x *transaction) openPrimary(id string, t *timing) *attempt {
	m, ok := x.awaitPrimary(t)
	if !ok {
		r := unservable("no primary")
		return &r
	}
	if !x.openOn(m.ID, id, t) {
		r := tryAgain("the transaction could not be opened")
		return &r
	}
	return nil
}

// onPrimary reports whether the transaction has to run on the primary.
func (x *transaction) onPrimary() bool {
	return !x.readOnly || x.route.Freshness == catalog.FreshPrimary
}

// openOn starts the transaction on one upstream.
func (x *transaction) openOn(id model.UpstreamID, request string, t *timing) bool {
	r := upstreamrun.OpenRequest{
		Place: x.place(id, t), ReadOnly: !x.onPrimary(), Session: x.state(), IdleLimit: x.idleLimit,
	}
	tx, out, err := x.cluster.Open(&r)
	if err != nil || tx == nil {
		return false
	}
	x.tx, x.upstream = tx, id
	x.log(request, "transaction opened", func(e *Entry) {
		e.Str("upstream", string(id)).Str("holder", string(out.Holder)).Str("floor", lineproto.FormatPosition(out.Floor)).Dur("proof_age", out.EvidenceAge)
	})
	return true
}

// send sends a statement of the transaction.
func (x *transaction) send(p *statement, t *timing) (upstreampool.Answer, error) {
	return x.tx.Send(&upstreamrun.TxRequest{
		Statement: p.Statement, Wait: max(t.waitLeft(), 0), Deadline: t.deadline,
		Session:     upstreampool.SessionState{ID: x.session.id, Values: x.session.values},
		TraceParent: x.session.traceParent,
	})
}

// statement runs a read or write of the transaction.
func (x *transaction) statement(s *session, p *statement, t *timing) reply {
	a, err := x.send(p, t)
	if err != nil {
		return s.txBroke(p, err)
	}
	if a.Code != "" {
		x.failedOn(p, &a)
		return s.failTx(answered(&a))
	}
	x.wrote = x.wrote || p.Write
	return answered(&a)
}

func (x *transaction) failedOn(p *statement, a *upstreampool.Answer) {
	x.log(p.ID, "upstream failed the statement", func(e *Entry) {
		e.Str("upstream", string(x.upstream)).Str("code", string(a.Code)).Bool("in_transaction", true)
	})
}

// txBroke answers after the connection of a transaction was lost before its
// COMMIT was sent: the upstream rolls it back.
func (s *session) txBroke(p *statement, err error) reply {
	x := s.tx
	x.log(p.ID, "transaction lost its connection", func(e *Entry) { e.Str("upstream", string(x.upstream)).Err(err) })
	x.discard()
	x.failed = true
	return failure(lineproto.Aborted, "the connection to the upstream was lost; the transaction is rolled back")
}

// commit ends the transaction.
func (s *session) commit(p *statement, t *timing) reply {
	x := s.tx
	a, err := x.send(p, t)
	s.tx = nil
	if err != nil {
		return x.commitBroke(p, err)
	}
	x.discard()
	if a.Code != "" {
		x.failedOn(p, &a)
		return answered(&a)
	}
	if x.wrote {
		s.committed(a.Ready.Position)
	}
	x.log(p.ID, "transaction committed", func(e *Entry) {
		e.Str("upstream", string(x.upstream)).Str("position", lineproto.FormatPosition(a.Ready.Position))
	})
	return answered(&a)
}

func (x *transaction) commitBroke(p *statement, err error) reply {
	x.discard()
	sent := upstreamrun.Sent(err)
	x.log(p.ID, "commit lost its connection", func(e *Entry) {
		e.Str("upstream", string(x.upstream)).Bool("sent", sent).Bool("wrote", x.wrote).Err(err)
	})
	if !sent || !x.wrote {
		return failure(lineproto.Aborted, "the connection to the upstream was lost; nothing is kept")
	}
	x.session.server.count("indoubt")
	return failure(lineproto.InDoubt, "the connection to the upstream was lost during COMMIT; the outcome is unknown")
}
