package linenode

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// forwardedTx is a transaction that runs at a holder. It reports what the answers show
// about the holder and the upstream.
type forwardedTx struct {
	*holderlink.Tx
	upstreamrun.TxProgress
	forwarder *forwarder
	service   catalog.Service
	holder    holderVM
}

// Send runs a statement of the transaction.
func (x *forwardedTx) Send(r *upstreamrun.TxRequest) (upstreampool.Answer, error) {
	call, forwarded := x.forwarder.begin(x.holder, x.Upstream, r.TraceParent), *r
	forwarded.TraceParent = call.span.TraceParent
	a, err := x.Tx.Send(&forwarded)
	call.end(&holderlink.Report{Spent: time.Since(call.start)}, err)
	if err != nil {
		return a, err
	}
	if x.ReportAnswer(x.forwarder.cluster, call.sentAt, r, &a) {
		x.forwarder.cluster.recordPassedOn(x.service, a.Ready.Position)
	}
	return a, nil
}
