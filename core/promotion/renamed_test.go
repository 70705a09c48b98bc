package promotion

import (
	"testing"

	"github.com/chervilhatch/chervilhatch/core/catalog"
)

// Guards against a service that refuses writes for good: its recorded primary is back from a crash under
// another ID and a new lease holder confirms no other one in the recorded term.
func TestRecordedPrimaryUnderAnotherIDIsConfirmed(t *testing.T) {
	h := newHarness(t)
	h.state.Lose()
	h.state.Acquire(h.now, Acquisition{Revision: 8, Records: map[catalog.Service]Record{"db": {Upstream: "former", Term: 1, Done: true}}})
	h.advance(2 * ConfirmationTTL)
	if list := h.state.Confirm(h.now, "vm"); len(list) != 1 || list[0].Upstream != "a" {
		t.Errorf("confirmed %+v, want a, which leads the recorded term", list)
	}
}

// Guards against a primary that is confirmed in a term which only its entry and an older primary suggest.
func TestPrimaryOfAnUnknownTermIsNotConfirmed(t *testing.T) {
	h := newHarness(t)
	h.state.Lose()
	h.state.Acquire(h.now, Acquisition{Revision: 8, Records: map[catalog.Service]Record{"db": {Upstream: "former", Term: 1, Done: true}}})
	h.member("a").Status.Primary = false
	h.advance(2 * ConfirmationTTL)
	if list := h.state.Confirm(h.now, "vm"); len(list) != 0 {
		t.Errorf("confirmed %+v, want none", list)
	}
}
