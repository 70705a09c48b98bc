package promotion

import (
	"slices"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// blockedReports ticks for d and returns the reported causes with the upstream that each is about.
func (h *harness) blockedReports(d time.Duration) []string {
	var reports []string
	for end := h.now.Add(d); h.now < end; {
		h.advance(10 * ms)
		for i := range h.effects {
			if e := &h.effects[i]; e.Kind == EffectTargetBlocked {
				reports = append(reports, e.Cause+" "+string(e.Upstream))
			}
		}
	}
	return reports
}

// Guards against a service without a primary whose log does not tell why no target is safe.
func TestCausesWithoutASafeTarget(t *testing.T) {
	lose := func(h *harness, ids ...model.UpstreamID) {
		for _, id := range ids {
			h.markFailed(id)
		}
	}
	remove := func(h *harness, id model.UpstreamID) {
		h.view.Members = slices.DeleteFunc(h.view.Members, func(m replicaset.Member) bool { return m.ID == id })
	}
	for _, c := range []struct {
		name string
		// prepare applies before the primary is lost, later 2.2 s after, when the fences are complete.
		prepare, later func(h *harness)
		want           string
	}{
		{"unanswered replica", func(h *harness) { lose(h, "c") }, nil, blockedFailing + " c"},
		{"no answer from any replica", func(h *harness) { lose(h, "b", "c") }, nil, blockedFailing + " b"},
		{"departed before it answered", func(h *harness) { lose(h, "c") }, func(h *harness) { remove(h, "c") }, blockedDepartedNotHeard + " c"},
		{"longest log departed", func(h *harness) {
			h.member("c").Status.Received = pos(105)
			h.view.Incomplete, h.view.MemberLost = true, true
		}, func(h *harness) { remove(h, "c") }, blockedDepartedAhead + " c"},
		{"longest log not reachable", func(h *harness) {
			h.member("c").Status.Received = pos(105)
			h.view.Incomplete, h.view.MemberLost = true, true
		}, func(h *harness) { lose(h, "c") }, blockedAhead + " c"},
		{"lost member, no evidence", func(h *harness) { h.view.Incomplete, h.view.MemberLost = true, true }, nil, blockedNoEvidence + " "},
		{"lost member, old evidence", func(h *harness) {
			h.view.Incomplete, h.view.MemberLost = true, true
			h.evidence = replicaset.Evidence{At: h.now, Position: pos(100), Term: 1}
			h.view.ReplicaLostAt = h.now.Add(ms)
		}, nil, blockedOldEvidence + " "},
		{"lost member, more evidence", func(h *harness) {
			h.view.Incomplete, h.view.MemberLost = true, true
			h.evidence = replicaset.Evidence{At: h.now, Position: pos(101), Term: 1}
		}, nil, blockedEvidenceAhead + " "},
	} {
		h := newHarness(t)
		if c.prepare != nil {
			c.prepare(h)
		}
		h.markFailed("a")
		reports := h.blockedReports(2200 * ms)
		if c.later != nil {
			c.later(h)
			reports = append(reports, h.blockedReports(500*ms)...)
		}
		h.wantNoPromoteCall()
		if len(reports) == 0 || reports[len(reports)-1] != c.want {
			t.Errorf("%s: reports %q, want %q last", c.name, reports, c.want)
		}
		if len(reports) > 8 {
			t.Errorf("%s: %d reports: %q", c.name, len(reports), reports)
		}
	}
}

// Guards against a log that fills with the causes of one change of primary, if they alternate.
func TestReportsOfCausesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.markFailed("c")
	h.advance(2 * time.Second)
	reports := 0
	const duration = time.Second
	for range duration / (10 * ms) {
		if b := h.member("b"); b.FailedSince == 0 {
			b.FailedSince = h.now
		} else {
			b.FailedSince = 0
		}
		reports += len(h.blockedReports(10 * ms))
	}
	h.wantNoPromoteCall()
	if limit := 11; reports < 2 || reports > limit {
		t.Errorf("%d reports within %v, want 2 to %d", reports, duration, limit)
	}
}
