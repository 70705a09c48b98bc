package upstreamrun

import (
	"errors"
	"syscall"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// SentStatement is what a statement was sent with.
type SentStatement struct {
	Upstream model.UpstreamID
	// SentAt is a moment before the statement was sent.
	SentAt model.Time
	// Floor is the position that the statement had to see.
	Floor model.Position
	// Committed tells that the statement, if it succeeded, was a commit.
	Committed bool
}

// ReportAnswer reports what an answer tells about its upstream. Answers that show a
// commit are proof of how far the primary's log reached when they were asked for.
func ReportAnswer(k Cluster, s *SentStatement, a *upstreampool.Answer) {
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
	k.Observe(&ev)
}

// TxProgress is what a transaction's answers have to be seen with.
type TxProgress struct {
	Upstream model.UpstreamID
	ReadOnly bool
	wrote    bool
}

// ReportAnswer reports what the answer to a statement tells, which was sent after
// askedAt. A replica refuses writes of a read-only transaction as it should.
func (x *TxProgress) ReportAnswer(k Cluster, sentAt model.Time, r *TxRequest, a *upstreampool.Answer) {
	if a.Code != lineproto.ReadOnly || !x.ReadOnly {
		committed := x.wrote && a.Ready.State == lineproto.Idle
		ReportAnswer(k, &SentStatement{Upstream: x.Upstream, SentAt: sentAt, Committed: committed}, a)
	}
	x.wrote = x.wrote || r.Write && a.Code == ""
}

// ReportFailure reports an upstream that could not be reached. A connection that broke
// later says little about the upstream, which is then checked.
func ReportFailure(k Cluster, id model.UpstreamID, err error) {
	var broken *upstreampool.BrokenError
	var refused *upstreampool.RefusedError
	switch {
	case errors.As(err, &refused):
		if refused.Replaced() {
			k.Observe(&replicaset.Event{Kind: replicaset.EventReplaced, Upstream: id})
		}
	case errors.As(err, &broken):
		if broken.Dialing {
			k.Observe(&replicaset.Event{
				Kind: replicaset.EventFailed, Upstream: id, Refused: errors.Is(err, syscall.ECONNREFUSED),
			})
		}
		k.Suspect(id)
	}
}

func (l *Local) reportFailure(id model.UpstreamID, err error) { ReportFailure(l.Cluster, id, err) }
