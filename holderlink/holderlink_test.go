package holderlink

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

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
