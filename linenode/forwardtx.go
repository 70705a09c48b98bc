package linenode

import (
	"time"

	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// forwardedTx is a transaction at a holder; it reports what the answers tell.
type forwardedTx struct {
	*holderlink.Tx
	upstreamrun.TxProgress
	forwarder *forwarder
	holder    holderVM
}

// Send runs a statement of the transaction.
func (x *forwardedTx) Send(r *upstreamrun.TxRequest) (upstreampool.Answer, error) {
	f := x.forwarder
	asked, start := f.cluster.Now(), time.Now()
	hop, forwarded := f.startHop(r.TraceParent, x.holder), *r
	forwarded.TraceParent = hop.TraceParent
	stop := f.watch(x.holder)
	a, err := x.Tx.Send(&forwarded)
	stop()
	hop.End(err)
	if err != nil {
		f.heard(x.holder, start, &holderlink.Report{Spent: time.Since(start)}, err)
		f.report(x.Upstream, err)
		return a, err
	}
	x.Answered(f.cluster, asked, r, &a)
	return a, nil
}
