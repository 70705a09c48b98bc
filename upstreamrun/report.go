package upstreamrun

import (
	"errors"
	"syscall"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// SentStatement describes a statement whose answer is reported.
type SentStatement struct {
	Upstream model.UpstreamID
	// SentAt is a time before the statement was sent.
	SentAt model.Time
	// Floor is the position that the statement had to see, zero if none.
	Floor model.Position
	// Committed is set if the success of the statement is a commit.
	Committed bool
}

// ReportAnswer reports what an answer shows about its upstream. An answer that
// shows a commit is evidence that the primary's log reached the answer's
// position at SentAt or later.
func ReportAnswer(c Cluster, s *SentStatement, a *upstreampool.Answer) {
	ev := replicaset.Event{Upstream: s.Upstream, SentAt: s.SentAt, Position: a.Ready.Position}
	switch {
	case a.Code == "" && s.Committed:
		ev.Kind = replicaset.EventCommitted
	case a.Code == "":
		ev.Kind = replicaset.EventServed
	case a.Code == lineproto.Lagging:
		ev.Kind, ev.Position = replicaset.EventLagging, s.Floor
	case a.Code == lineproto.ReadOnly:
		ev.Kind = replicaset.EventNotPrimary
	default:
		return
	}
	c.Observe(&ev)
}

// TxProgress is the state of a transaction by which the answers to its
// statements are interpreted.
type TxProgress struct {
	Upstream model.UpstreamID
	ReadOnly bool
	// wrote is true once a write of the transaction succeeded.
	wrote bool
}

// ReportAnswer reports what the answer to a statement sent after sentAt shows.
// A replica that refuses a write of a read-only transaction has not lost the
// role of primary, so this is not reported. committed is true if the answer
// acknowledges a commit of the transaction's writes.
func (x *TxProgress) ReportAnswer(c Cluster, sentAt model.Time, r *TxRequest, a *upstreampool.Answer) (committed bool) {
	committed = x.wrote && a.Ready.State == lineproto.Idle
	if a.Code != lineproto.ReadOnly || !x.ReadOnly {
		ReportAnswer(c, &SentStatement{Upstream: x.Upstream, SentAt: sentAt, Committed: committed}, a)
	}
	x.wrote = x.wrote || r.Write && a.Code == ""
	return committed && a.Code == ""
}

// ReportFailure reports an upstream that could not be reached. The failure of
// an established connection shows little about the upstream, so only a status
// query is requested.
func ReportFailure(c Cluster, id model.UpstreamID, err error) {
	var broken *upstreampool.BrokenError
	var refused *upstreampool.RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Replaced() {
			c.Observe(&replicaset.Event{Kind: replicaset.EventReplaced, Upstream: id})
		}
	case errors.As(err, &broken):
		if broken.Dialing {
			c.Observe(&replicaset.Event{
				Kind: replicaset.EventFailed, Upstream: id, Refused: errors.Is(err, syscall.ECONNREFUSED),
			})
		}
		c.Suspect(id)
	}
}

func (l *Local) reportFailure(id model.UpstreamID, err error) { ReportFailure(l.Cluster, id, err) }
