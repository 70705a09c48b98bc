package linenode

import (
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// groupLog writes a group report, which may be nil, to a log line. Ages are in
// milliseconds.
type groupLog struct{ report *promotion.GroupReport }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (g groupLog) MarshalZerologObject(e *zerolog.Event) {
	r := g.report
	if r == nil {
		return
	}
	e.Uint64("fence_term", r.FenceTerm).Dur("list_age", r.ListAge).Dur("unconfirmed", r.Unconfirmed)
	if r.PassedOn != (model.Position{}) {
		e.Str("passed_on", lineproto.FormatPosition(r.PassedOn))
	}
	if r.Evidence != nil {
		e.Str("evidence", lineproto.FormatPosition(r.Evidence.Position)).Dur("evidence_age", r.EvidenceAge)
	}
	members := zerolog.Arr()
	for i := range r.Members {
		members.Object(memberLog{&r.Members[i]})
	}
	e.Array("members", members)
}

// memberLog writes what is known of one upstream.
type memberLog struct{ report *promotion.MemberReport }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (m memberLog) MarshalZerologObject(e *zerolog.Event) {
	r := m.report
	e.Str("upstream", string(r.ID)).Bool("leaving", r.Leaving).Bool("failing", r.Failing)
	if !r.Heard {
		return
	}
	role := "replica"
	if r.Primary {
		role = "primary"
	}
	e.Str("role", role).Uint64("term", r.Term).Uint64("fenced", r.FencedTerm).
		Str("received", lineproto.FormatPosition(r.Received)).Dur("status_age", r.StatusAge)
}
