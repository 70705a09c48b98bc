package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
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

// Guards against a service without a confirmed primary for as long as nobody intervenes: the upstream of
// the last recorded promotion has crashed and is back with its log, under another ID, in the same term.
func TestPrimaryThatIsBackUnderAnotherIDIsConfirmed(t *testing.T) {
	for _, newHolder := range []bool{false, true} {
		h := newHarness(t)
		h.markFailed("a")
		h.advance(registrationTimeout + 200*ms)
		h.wantPromoteCall("b")
		h.completePromotion()
		h.advance(500 * ms)
		if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) != 1 || confirmed[0].Upstream != "b" {
			t.Fatalf("fixture: %+v confirmed", confirmed)
		}
		if newHolder {
			records := h.state.Records(h.now)
			h.state = New()
			h.state.Acquire(h.now, Acquisition{Revision: 9, Records: records})
		}
		h.member("b").ID = "b2"
		h.view.Primary = "b2"
		calls := len(h.promoteCalls)
		var confirmed model.UpstreamID
		for range 100 {
			h.advance(100 * ms)
			if c := h.state.Confirm(h.now, "vm"); len(c) == 1 {
				confirmed = c[0].Upstream
			}
			if len(h.promoteCalls) > calls {
				calls = len(h.promoteCalls)
				h.completePromotion()
			}
		}
		if confirmed == "" {
			t.Errorf("new holder %t: no primary is confirmed within %v", newHolder, 100*100*time.Millisecond)
		}
	}
}
