package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Guards against a second holder of the promotion lease beside the one of the former
// generation, against a lease that nobody can acquire, and against a holder that takes
// the records in an older copy of the store for complete.
func TestClaim(t *testing.T) {
	const ttl = 2 * time.Second
	seen := model.Time(time.Hour)
	tooEarly := Verdict{Cause: "a holder of the former generation may still act", NotBefore: seen.Add(ttl)}
	settled, unsettled, former := &Mark{Generation: 5, Settled: true}, &Mark{Generation: 5}, &Mark{Generation: 4, Settled: true}
	for name, tt := range map[string]struct {
		claim Claim
		after time.Duration
		want  Verdict
	}{
		"succeeded by another VM":             {Claim{Mark: &Mark{Generation: 5, Settled: true, Holder: "b"}, VM: "a", HoldEndedAt: seen, Period: time.Second}, time.Second - 1, Verdict{Cause: "another VM has held it since this one", NotBefore: seen.Add(time.Second)}},
		"succeeded a while ago":               {Claim{Mark: &Mark{Generation: 5, Settled: true, Holder: "b"}, VM: "a", HoldEndedAt: seen, Period: time.Second}, time.Second, Verdict{Acquire: true}},
		"not succeeded":                       {Claim{Mark: &Mark{Generation: 5, Settled: true, Holder: "a"}, VM: "a", HoldEndedAt: seen, Period: time.Second}, 0, Verdict{Acquire: true}},
		"never held":                          {Claim{Mark: &Mark{Generation: 5, Settled: true, Holder: "b"}, VM: "a", Period: time.Second}, 0, Verdict{Acquire: true}},
		"free in a settled generation":        {Claim{Mark: settled}, 0, Verdict{Acquire: true}},
		"free in an unsettled generation":     {Claim{Mark: unsettled}, 0, Verdict{Acquire: true, CallsUnknown: true}},
		"held in this generation":             {Claim{Mark: settled, Exists: true, HeldUntilSeen: true}, time.Hour, Verdict{Cause: "held by another VM"}},
		"own former process":                  {Claim{Mark: settled, Exists: true, Own: true}, 0, Verdict{Acquire: true}},
		"new generation, at once":             {Claim{Mark: former}, 0, tooEarly},
		"new generation, just before the end": {Claim{Mark: former}, ttl - 1, tooEarly},
		"new generation":                      {Claim{Mark: former}, ttl, Verdict{Acquire: true, CallsUnknown: true}},
		"new generation, entry in the copy":   {Claim{Mark: former, Exists: true}, ttl, Verdict{Acquire: true, CallsUnknown: true}},
		"new generation, own entry":           {Claim{Mark: former, Exists: true, Own: true}, 0, tooEarly},
		"new generation, its former holder":   {Claim{Mark: former, Exists: true, HeldUntilSeen: true}, 0, Verdict{Acquire: true, KeepRecords: true}},
		"copy without a mark":                 {Claim{SawEarlier: true}, ttl, Verdict{Acquire: true, CallsUnknown: true}},
		"copy without a mark, former holder":  {Claim{SawEarlier: true, HeldUntilSeen: true}, 0, Verdict{Acquire: true, KeepRecords: true}},
		"first start":                         {Claim{}, ttl, Verdict{Acquire: true}},
		"entry without a mark":                {Claim{Exists: true}, ttl, Verdict{Cause: "held by another VM"}},
	} {
		tt.claim.Generation, tt.claim.SeenAt = 5, seen
		if got := tt.claim.Decide(seen.Add(tt.after), ttl); got != tt.want {
			t.Errorf("%s: %+v, want %+v", name, got, tt.want)
		}
	}
}

// Guards against a primary that is confirmed while a promotion call without a record may
// still replace it.
func TestNothingIsConfirmedWhileCallsAreUnknown(t *testing.T) {
	h := newHarness(t)
	h.state.Acquire(h.now, Acquisition{Revision: 9, CallsUnknown: true})
	for start := h.now; h.now < start.Add(lateCallTimeout-100*ms); {
		h.advance(50 * ms)
		if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) > 0 {
			t.Fatalf("%+v confirmed %v after the acquisition", confirmed, h.now.Sub(start))
		}
		if h.state.Settled(h.now) {
			t.Fatalf("calls count as known %v after the acquisition", h.now.Sub(start))
		}
	}
	h.advance(200 * ms)
	if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) != 1 || !h.state.Settled(h.now) {
		t.Errorf("confirmed %+v after the calls cannot be executed any more", confirmed)
	}
	h.wantNoPromoteCall()
}

// Guards against a service without a confirmed primary for seconds after a failover
// whose fencing token keeps all earlier calls from being executed.
func TestOwnPromotionSettlesUnknownCalls(t *testing.T) {
	h := newHarness(t)
	h.state.Acquire(h.now, Acquisition{Revision: 9, CallsUnknown: true})
	h.advance(500 * ms)
	h.markFailed("a")
	h.advance(3 * time.Second)
	h.wantPromoteCall("b")
	h.completePromotion()
	h.advance(300 * ms)
	if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) != 1 || confirmed[0].Upstream != "b" {
		t.Errorf("confirmed %+v after the promotion, want b", confirmed)
	}
}

// Guards against fences of an unknown promotion that are released, or kept with the
// primary cut off from its replicas: the promotion is replaced by another one.
func TestUnknownPromotionWithFencesIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.member("b").Status.FencedTerm, h.member("c").Status.FencedTerm = 2, 2
	h.state.Acquire(h.now, Acquisition{Revision: 9, CallsUnknown: true})
	for range 100 {
		h.advance(20 * ms)
		for _, e := range h.effects {
			if e.Kind == EffectCommand && e.Command == CommandResume && len(h.promoteCalls) == 0 {
				t.Fatalf("the fence of %s is released while a call may be executed", e.Upstream)
			}
		}
	}
	if len(h.promoteCalls) == 0 {
		t.Error("no promotion was called")
	}
}

// Guards against a holder that takes the lease back in a new generation and has
// forgotten its own promotion call.
func TestRecordsOutlastTheLease(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.advance(3 * time.Second)
	h.wantPromoteCall("b")
	records := h.state.Records(h.now)
	if r := records["db"]; r.Upstream != "b" || r.Done {
		t.Fatalf("records %+v", records)
	}
	h.state.Lose()
	h.member("a").FailedSince = 0
	h.state.Acquire(h.now, Acquisition{Revision: 9, Records: records})
	h.advance(time.Second)
	if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) > 0 && confirmed[0].Successor != "b" {
		t.Errorf("%+v confirmed while the call for b is pending", confirmed)
	}
	if got := h.state.Records(h.now)[catalog.Service("db")]; got.Upstream == "" || got.Done {
		t.Errorf("record %+v after the second acquisition", got)
	}
}
