package upstreamrun

import (
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// rollbackTimeout bounds the end of a transaction that is given up; the
	// connection is closed when it passes, which ends the transaction as well.
	rollbackTimeout = 300 * time.Millisecond
	// busyPause is the pause before a statement that found no slot is sent
	// again: about as long as one takes to become free.
	busyPause = 12 * time.Millisecond
)

// OpenRequest opens a transaction.
type OpenRequest struct {
	Place
	// ReadOnly transactions run on a log that is proved to be new enough.
	ReadOnly bool
	Session  upstreampool.SessionState
	// IdleLimit is how long the transaction may rest between statements.
	IdleLimit time.Duration
}

// Open starts a transaction. Tx is nil if the upstream refused it.
func (l *Local) Open(r *OpenRequest) (Tx, Outcome, error) {
	conn, pool, err := l.connect(&r.Place, &r.Session)
	if err != nil {
		return nil, Outcome{}, err
	}
	var o Outcome
	begin := "BEGIN"
	if r.ReadOnly {
		if err := l.prove(&r.Place, &o); err != nil {
			pool.Release(conn, true)
			return nil, Outcome{}, err
		}
		begin = after(o.Floor, "BEGIN READ")
	}
	asked := l.Knowledge.Now()
	hop := l.startHop(r.TraceParent, r.Upstream)
	stop := l.watch(r.Upstream)
	o.Answer, err = conn.Query(r.Deadline, lineproto.NilValue, begin)
	stop()
	hop.End(err)
	if err != nil {
		pool.Release(conn, false)
		l.failed(r.Upstream, err)
		return nil, Outcome{}, err
	}
	Answered(l.Knowledge, &Seen{Upstream: r.Upstream, SentAt: asked, Floor: o.Floor}, &o.Answer)
	if o.Code != "" || o.Ready.State != lineproto.InTx {
		pool.Release(conn, o.Ready.State == lineproto.Idle)
		return nil, o, nil
	}
	tx := &localTx{local: l, conn: conn, pool: pool}
	tx.Upstream, tx.ReadOnly = r.Upstream, r.ReadOnly
	return tx, o, nil
}

// localTx is a transaction on a connection of this VM.
type localTx struct {
	TxProgress
	local *Local
	// conn is nil after the end.
	conn *upstreampool.Conn
	pool *upstreampool.Pool
}

// Send runs a statement, and sends it again while the upstream answers that it
// had no slot and has kept the transaction open.
func (x *localTx) Send(r *TxRequest) (upstreampool.Answer, error) {
	asked := x.local.Knowledge.Now()
	hop := x.local.startHop(r.TraceParent, x.Upstream)
	a, err := x.send(r)
	hop.End(err)
	if err != nil {
		x.Discard()
		x.local.failed(x.Upstream, err)
		return a, err
	}
	if a.Ready.State == lineproto.Idle {
		x.end(true)
	}
	x.Answered(x.local.Knowledge, asked, r, &a)
	return a, nil
}

func (x *localTx) send(r *TxRequest) (upstreampool.Answer, error) {
	if err := x.conn.Adopt(r.Deadline, &r.Session); err != nil {
		return upstreampool.Answer{}, err
	}
	text, err := textFor(x.conn, &r.Statement, r.Deadline)
	if err != nil {
		return upstreampool.Answer{}, err
	}
	for giveUp := time.Now().Add(r.Wait); ; {
		start := time.Now()
		stop := x.local.watch(x.Upstream)
		a, err := x.conn.Query(r.Deadline, r.ID, text)
		stop()
		if err != nil {
			return a, err
		}
		if a.Code != lineproto.Busy || a.Ready.State != lineproto.InTx || time.Now().After(giveUp) {
			if a.Code == "" {
				x.pool.Observe(time.Since(start))
			}
			return a, nil
		}
		time.Sleep(busyPause)
	}
}

// end gives the connection back.
func (x *localTx) end(reusable bool) {
	if x.conn == nil {
		return
	}
	x.pool.Release(x.conn, reusable)
	x.conn = nil
}

// Discard closes the connection, which rolls the transaction back.
func (x *localTx) Discard() { x.end(false) }

// Rollback ends the transaction on the upstream and keeps the connection.
func (x *localTx) Rollback() {
	if x.conn == nil {
		return
	}
	a, err := x.conn.Query(time.Now().Add(rollbackTimeout), lineproto.NilValue, "ROLLBACK")
	x.end(err == nil && a.Code == "" && a.Ready.State == lineproto.Idle)
}
