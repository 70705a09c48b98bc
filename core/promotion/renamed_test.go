package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

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
