package linenode

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// forwardedTx is a transaction at a holder; it reports what the answers tell.
type forwardedTx struct {
	*holderlink.Tx
	forwarder *forwarder
	holder    holderVM
	upstream  model.UpstreamID
	readOnly  bool
	wrote     bool
}

// Send runs a statement of the transaction.
func (x *forwardedTx) Send(r *upstreamrun.TxRequest) (upstreampool.Answer, error) {
	f := x.forwarder
	asked, start := f.cluster.Now(), time.Now()
	stop := f.watch(x.holder)
	a, err := x.Tx.Send(r)
	stop()
	if err != nil {
		f.heard(x.holder, start, &holderlink.Report{Spent: time.Since(start)}, err)
		f.report(x.upstream, err)
		return a, err
	}
	if a.Code != lineproto.ReadOnly || !x.readOnly {
		committed := x.wrote && a.Ready.State == lineproto.Idle
		seen := upstreamrun.Seen{Upstream: x.upstream, AskedAt: asked, Committed: committed}
		upstreamrun.Answered(f.cluster, &seen, &a)
	}
	x.wrote = x.wrote || r.Write
	return a, nil
}
