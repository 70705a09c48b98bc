package holderlink

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chervilhatch/chervilhatch/core/admission"
	"github.com/chervilhatch/chervilhatch/lineproto"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// timeoutError is an error that reports a time-out.
type timeoutError struct{}

func (timeoutError) Error() string { return "time limit" }
func (timeoutError) Timeout() bool { return true }

// Guards against an error that counts as "not sent" at the holder and as "may have
// been sent" at the caller's VM, or the reverse.
func TestFailuresKeepTheirMeaning(t *testing.T) {
	broken := func(sent, dialing bool, err error) error {
		return &upstreampool.BrokenError{Upstream: "i-1", Sent: sent, Dialing: dialing, Err: err}
	}
	for _, err := range []error{
		upstreampool.ErrAcquireTimeout, upstreampool.ErrBusy, upstreampool.ErrWarmingUp, upstreampool.ErrClosed, upstreamrun.ErrNoEvidence,
		broken(true, false, errors.New("reset")), broken(false, false, errors.New("reset")),
		broken(false, true, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)), broken(true, false, timeoutError{}),
		&upstreampool.RefusedError{Upstream: "i-1", Code: lineproto.Misrouted, Text: "i-2"},
	} {
		got := fromFailure("i-1", toFailure(err))
		if upstreamrun.Sent(got) != upstreamrun.Sent(err) || upstreamrun.TimedOut(got) != upstreamrun.TimedOut(err) {
			t.Errorf("%v became %v", err, got)
		}
		if errors.Is(got, syscall.ECONNREFUSED) != errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v became %v", err, got)
		}
		var before, after *upstreampool.RefusedError
		if errors.As(err, &before) != errors.As(got, &after) || before != nil && *before != *after {
			t.Errorf("%v became %v", err, got)
		}
	}
}

// Guards against an unknown reason, from a newer version, that counts as "not
// sent".
func TestUnknownFailureMayHaveBeenSent(t *testing.T) {
	if err := fromFailure("i-1", &vmlinkv1.Failure{Reason: 99}); !upstreamrun.Sent(err) {
		t.Error(err)
	}
}

// Guards against a refusal by a queue that loses its delay between VMs, counts as sent at
// a VM that does not know it, or brings values that a holder cannot mean.
func TestOverloadKeepsItsMeaning(t *testing.T) {
	refusal := admission.Refusal{
		Cause: admission.Crowded, RetryAfter: 120 * time.Millisecond, Estimate: time.Second, Service: 18 * time.Millisecond, Waiting: 40,
	}
	failure := toFailure(&upstreampool.OverloadedError{Upstream: "i-1", Refusal: refusal})
	var got *upstreampool.OverloadedError
	if err := fromFailure("i-1", failure); !errors.As(err, &got) || got.Refusal != refusal || upstreamrun.Sent(err) {
		t.Errorf("%v, want %+v", err, refusal)
	}
	failure.Overload = nil
	if err := fromFailure("i-1", failure); !errors.Is(err, upstreampool.ErrAcquireTimeout) {
		t.Errorf("without the new field: %v", err)
	}
	odd := fromOverload(&vmlinkv1.Overload{Cause: 77, RetryAfterUs: 1 << 62, EstimateUs: -5})
	if odd.Cause != 0 || odd.RetryAfter != maxOverloadDelay || odd.Estimate != 0 {
		t.Errorf("odd values became %+v", odd)
	}
}

// Guards against a request of an older VM, without an objective, that counts as one whose
// objective has passed, and the reverse.
func TestObjectiveIsOptional(t *testing.T) {
	if p := fromPlace(toPlace(&upstreamrun.Place{})); !p.Objective.IsZero() || p.Elsewhere {
		t.Errorf("%+v", p)
	}
	past := time.Now().Add(-time.Second)
	encoded, err := proto.Marshal(toPlace(&upstreamrun.Place{Objective: past, Elsewhere: true}))
	if err != nil {
		t.Fatal(err)
	}
	var received vmlinkv1.Place
	if err := proto.Unmarshal(encoded, &received); err != nil {
		t.Fatal(err)
	}
	if p := fromPlace(&received); p.Objective.Sub(past).Abs() > time.Second/2 || !p.Elsewhere {
		t.Errorf("objective %s, want %s", p.Objective, past)
	}
}
