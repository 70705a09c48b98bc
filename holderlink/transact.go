package holderlink

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// rollbackTimeout bounds the wait for the holder to confirm a rollback.
const rollbackTimeout = time.Second

type transactStream = grpc.BidiStreamingClient[vmlinkv1.TransactRequest, vmlinkv1.RunResponse]

// Tx is a transaction on a connection of the holder. It implements
// upstreamrun.Tx.
type Tx struct {
	client   *Client
	upstream model.UpstreamID
	stream   transactStream
	cancel   context.CancelFunc
	ended    bool
}

// Open starts a transaction. The Tx is nil if the upstream refused to start it
// or an error is returned.
func (c *Client) Open(r *upstreamrun.OpenRequest) (*Tx, upstreamrun.Outcome, Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := c.rpc.Transact(ctx)
	if err != nil {
		cancel()
		return nil, upstreamrun.Outcome{}, Report{}, c.unreachable(r.Upstream, err)
	}
	x := &Tx{client: c, upstream: r.Upstream, stream: stream, cancel: cancel}
	open := &vmlinkv1.Open{
		Place: toPlace(&r.Place), ReadOnly: r.ReadOnly, Session: toSession(&r.Session), IdleLimitUs: r.IdleLimit.Microseconds(),
	}
	a, err := x.roundTrip(&vmlinkv1.TransactRequest{Step: &vmlinkv1.TransactRequest_Open{Open: open}}, r.Deadline)
	if err != nil {
		return nil, upstreamrun.Outcome{}, Report{}, err
	}
	o, err := fromResponse(r.Upstream, a)
	if err != nil || o.Code != "" || o.Ready.State != lineproto.InTx {
		x.abort()
		return nil, o, reportOf(a), err
	}
	return x, o, reportOf(a), nil
}

// roundTrip sends a message and waits for its answer until the deadline plus
// roundTripAllowance. After an error, the transaction is over.
func (x *Tx) roundTrip(r *vmlinkv1.TransactRequest, deadline time.Time) (*vmlinkv1.RunResponse, error) {
	timer := time.AfterFunc(time.Until(deadline)+roundTripAllowance, x.cancel)
	defer timer.Stop()
	var a *vmlinkv1.RunResponse
	err := x.stream.Send(r)
	if err == nil {
		a, err = x.stream.Recv()
	}
	if err != nil {
		x.abort()
		return nil, x.client.unreachable(x.upstream, err)
	}
	return a, nil
}

// abort cancels the stream. The holder then discards the connection if the
// transaction is still open.
func (x *Tx) abort() {
	x.ended = true
	x.cancel()
}

// Send runs a statement of the transaction.
func (x *Tx) Send(r *upstreamrun.TxRequest) (upstreampool.Answer, error) {
	statement := &vmlinkv1.TxStatement{
		Statement: toStatement(&r.Statement), Session: toSession(&r.Session),
		WaitUs: r.Wait.Microseconds(), TimeoutUs: time.Until(r.Deadline).Microseconds(),
		Traceparent: r.TraceParent,
	}
	a, err := x.roundTrip(&vmlinkv1.TransactRequest{Step: &vmlinkv1.TransactRequest_Statement{Statement: statement}}, r.Deadline)
	if err != nil {
		return upstreampool.Answer{}, err
	}
	o, err := fromResponse(x.upstream, a)
	if err != nil || o.Ready.State == lineproto.Idle {
		x.abort()
	}
	return o.Answer, err
}

// Rollback rolls the transaction back. The holder can reuse the connection.
func (x *Tx) Rollback() {
	if x.ended {
		return
	}
	x.ended = true
	timer := time.AfterFunc(rollbackTimeout, x.cancel)
	defer timer.Stop()
	defer x.cancel()
	rollback := &vmlinkv1.TransactRequest{Step: &vmlinkv1.TransactRequest_Rollback{Rollback: true}}
	if err := x.stream.Send(rollback); err != nil {
		return
	}
	// The holder ends the stream after the rollback. If it does not in time, the
	// stream is cancelled, which also ends the transaction.
	_, _ = x.stream.Recv()
}

// Discard ends the transaction without waiting. The holder closes its connection.
func (x *Tx) Discard() {
	if !x.ended {
		x.abort()
	}
}
