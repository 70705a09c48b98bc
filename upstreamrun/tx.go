package upstreamrun

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// rollbackTimeout bounds the rollback of an abandoned transaction. After it
	// the connection is closed, which ends the transaction as well.
	rollbackTimeout = 300 * time.Millisecond
	// busyRetryDelay is the delay before a statement that found no free slot is
	// sent again: about as long as a slot takes to become free.
	busyRetryDelay = 12 * time.Millisecond
	// commitText is the text of the statement that commits a transaction.
	commitText = "COMMIT"
)

// OpenRequest describes a transaction to open.
type OpenRequest struct {
	Place
	// ReadOnly transactions begin with a floor, like reads in ModeFresh.
	ReadOnly bool
	Session  upstreampool.SessionState
	// IdleLimit is how long the transaction may be idle between statements.
	IdleLimit time.Duration
}

// Open begins a transaction. Tx is nil if the upstream refused it.
func (l *Local) Open(r *OpenRequest) (Tx, Outcome, error) {
	connect := l.connectToPrimary
	if r.ReadOnly {
		connect = l.connect
	}
	c, err := connect(&r.Place, &r.Session)
	if err != nil {
		return nil, Outcome{}, err
	}
	tx := &localTx{pooledConn: *c, local: l, place: r.Place}
	opened := false
	defer func() {
		if !opened {
			tx.Discard()
		}
	}()
	var o Outcome
	begin := "BEGIN"
	if r.ReadOnly {
		if err := l.setFloor(&r.Place, &o); err != nil {
			tx.release(true)
			return nil, Outcome{}, err
		}
		begin = withFloor(o.Floor, "BEGIN READ")
	}
	sentAt := l.Cluster.Now()
	hop := l.startHop(r.TraceParent, r.Upstream)
	stop := l.suspectIfSlow(r.Upstream)
	o.Answer, err = tx.conn.Query(r.Deadline, lineproto.NilValue, begin)
	stop()
	hop.End(err)
	if err != nil {
		tx.Discard()
		l.reportFailure(r.Upstream, err)
		return nil, Outcome{}, err
	}
	ReportAnswer(l.Cluster, &SentStatement{Upstream: r.Upstream, SentAt: sentAt, Floor: o.Floor}, &o.Answer)
	if o.Code != "" || o.Ready.State != lineproto.InTx {
		tx.release(o.Ready.State == lineproto.Idle)
		return nil, o, nil
	}
	tx.pool.Leave(tx.conn)
	opened = true
	tx.Upstream, tx.ReadOnly = r.Upstream, r.ReadOnly
	return tx, o, nil
}

// localTx is a transaction on a connection of this VM.
type localTx struct {
	TxProgress
	// pooledConn has no connection once the transaction is over.
	pooledConn
	local *Local
	// place is where the transaction was opened.
	place Place
	// counted is true once the transaction was counted as usage.
	counted bool
}

// Send runs a statement. For at most r.Wait, it sends the statement again while
// the upstream answers that it had no free slot and has kept the transaction
// open.
func (x *localTx) Send(r *TxRequest) (upstreampool.Answer, error) {
	sentAt := x.local.Cluster.Now()
	if err := x.confirm(r, sentAt); err != nil {
		x.Discard()
		return upstreampool.Answer{}, err
	}
	hop := x.local.startHop(r.TraceParent, x.Upstream)
	a, err := x.send(r)
	hop.End(err)
	if !x.counted {
		x.counted = x.local.countUsage(x.place.Workspace, sentAt, &a, err)
	}
	if err != nil {
		x.Discard()
		x.local.reportFailure(x.Upstream, err)
		return a, err
	}
	if a.Ready.State == lineproto.Idle {
		x.release(true)
	}
	if x.ReportAnswer(x.local.Cluster, sentAt, r, &a) {
		place := x.place
		place.Deadline = r.Deadline
		err = x.local.confirmCommit(&place, &a)
	}
	return a, err
}

// confirm confirms the primary before the first write of a transaction and before the COMMIT of one
// that has written, both of which would be in vain if the commit could not be passed on.
func (x *localTx) confirm(r *TxRequest, now model.Time) error {
	firstWrite, commit := r.Write && !x.wrote, x.wrote && r.Text == commitText
	if x.ReadOnly || !firstWrite && !commit {
		return nil
	}
	place := x.place
	place.Wait, place.Deadline = r.Wait, r.Deadline
	if !x.local.Cluster.ConfirmCommits(&place, now) {
		return ErrUnconfirmed
	}
	return nil
}

func (x *localTx) send(r *TxRequest) (upstreampool.Answer, error) {
	if err := x.conn.ApplySession(r.Deadline, &r.Session); err != nil {
		return upstreampool.Answer{}, err
	}
	text, err := statementText(x.conn, &r.Statement, r.Deadline)
	if err != nil {
		return upstreampool.Answer{}, err
	}
	for retryUntil := time.Now().Add(r.Wait); ; {
		if err := x.enter(r); err != nil {
			return upstreampool.Answer{}, err
		}
		start := time.Now()
		stop := x.local.suspectIfSlow(x.Upstream)
		a, err := x.conn.Query(r.Deadline, r.ID, text)
		stop()
		x.pool.Leave(x.conn)
		if err != nil {
			return a, err
		}
		if a.Code != lineproto.Busy || a.Ready.State != lineproto.InTx || time.Now().After(retryUntil) {
			if a.Code == "" {
				x.pool.ObserveLatency(time.Since(start))
			}
			return a, nil
		}
		x.pool.NarrowGate()
		time.Sleep(busyRetryDelay)
	}
}

// enter waits until the upstream has a slot for a statement of the transaction.
func (x *localTx) enter(r *TxRequest) error {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	return x.pool.Enter(ctx, x.conn, upstreampool.Request{
		Workspace: x.place.Workspace, Priority: x.place.Priority, Objective: r.Deadline, Deadline: r.Deadline,
	})
}

// Discard closes the connection, which rolls the transaction back.
func (x *localTx) Discard() { x.discard() }

// Rollback ends the transaction on the upstream and keeps the connection.
func (x *localTx) Rollback() {
	if x.conn == nil {
		return
	}
	a, err := x.conn.Query(time.Now().Add(rollbackTimeout), lineproto.NilValue, "ROLLBACK")
	x.release(err == nil && a.Code == "" && a.Ready.State == lineproto.Idle)
}
