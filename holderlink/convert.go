package holderlink

import (
	"errors"
	"syscall"
	"time"

	"github.com/chervilhatch/chervilhatch/core/admission"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

func position(term, number uint64) model.Position {
	return model.Position{Term: model.Term{Counter: term}, Pos: model.LogPos(number)}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// toPlace converts a Place. The deadline is sent as the remaining time.
func toPlace(p *upstreamrun.Place) *vmlinkv1.Place {
	place := &vmlinkv1.Place{
		Upstream: string(p.Upstream), Service: string(p.Service), Workspace: p.Workspace, Priority: int32(p.Priority),
		WaitUs: p.Wait.Microseconds(), TimeoutUs: time.Until(p.Deadline).Microseconds(), BoundUs: p.Bound.Microseconds(),
		PositionTerm: p.Position.Term.Counter, Position: uint64(p.Position.Pos), Traceparent: p.TraceParent,
		Elsewhere: p.Elsewhere,
	}
	if !p.Objective.IsZero() {
		left := time.Until(p.Objective).Microseconds()
		place.ObjectiveUs = &left
	}
	return place
}

// fromPlace converts a Place that has just been received: the remaining time
// counts from now.
func fromPlace(p *vmlinkv1.Place) upstreamrun.Place {
	place := upstreamrun.Place{
		Upstream: model.UpstreamID(p.GetUpstream()), Service: catalog.Service(p.GetService()),
		Workspace: p.GetWorkspace(), Priority: int(p.GetPriority()),
		Wait: microseconds(p.GetWaitUs()), Deadline: time.Now().Add(microseconds(p.GetTimeoutUs())),
		Bound: microseconds(p.GetBoundUs()), Position: position(p.GetPositionTerm(), p.GetPosition()),
		TraceParent: p.GetTraceparent(), Elsewhere: p.GetElsewhere(),
	}
	if p != nil && p.ObjectiveUs != nil {
		place.Objective = time.Now().Add(microseconds(p.GetObjectiveUs()))
	}
	return place
}

func toStatement(s *upstreamrun.Statement) *vmlinkv1.Statement {
	return &vmlinkv1.Statement{Id: s.ID, Text: s.Text, Write: s.Write, Shape: s.Shape, Arguments: s.Arguments}
}

func fromStatement(s *vmlinkv1.Statement) upstreamrun.Statement {
	return upstreamrun.Statement{ID: s.GetId(), Text: s.GetText(), Write: s.GetWrite(), Shape: s.GetShape(), Arguments: s.GetArguments()}
}

func toSession(s *upstreampool.SessionState) *vmlinkv1.Session {
	return &vmlinkv1.Session{Id: s.ID, Values: s.Values}
}

func fromSession(s *vmlinkv1.Session) upstreampool.SessionState {
	return upstreampool.SessionState{ID: s.GetId(), Values: s.GetValues()}
}

func toResponse(o *upstreamrun.Outcome, err error) *vmlinkv1.RunResponse {
	r := &vmlinkv1.RunResponse{
		Rows: o.Rows, Signature: o.Signature, Code: string(o.Code), Text: o.Text,
		PositionTerm: o.Ready.Position.Term.Counter, Position: uint64(o.Ready.Position.Pos),
		FloorTerm: o.Floor.Term.Counter, Floor: uint64(o.Floor.Pos), ProofAgeUs: o.EvidenceAge.Microseconds(),
	}
	if o.Ready.State != 0 {
		r.State = string(rune(o.Ready.State))
	}
	if err != nil {
		r.Failure = toFailure(err)
	}
	return r
}

func fromResponse(id model.UpstreamID, r *vmlinkv1.RunResponse) (upstreamrun.Outcome, error) {
	if f := r.GetFailure(); f != nil {
		return upstreamrun.Outcome{}, fromFailure(id, f)
	}
	o := upstreamrun.Outcome{
		Floor: position(r.GetFloorTerm(), r.GetFloor()), EvidenceAge: microseconds(r.GetProofAgeUs()),
	}
	o.Rows, o.Signature = r.GetRows(), r.GetSignature()
	o.Code, o.Text = lineproto.Code(r.GetCode()), r.GetText()
	o.Ready.Position = position(r.GetPositionTerm(), r.GetPosition())
	if s := r.GetState(); s != "" {
		o.Ready.State = lineproto.TxState(s[0])
	}
	return o, nil
}

func reportOf(r *vmlinkv1.RunResponse) Report {
	return Report{
		Spent: microseconds(r.GetSpentUs()), Stopping: r.GetStopping(), InFlight: int(r.GetUnderWay()),
		Arrivals: r.GetArrivals(), ServiceTime: microseconds(r.GetServiceUs()),
	}
}

// errorsByReason has the errors that are transmitted as a reason alone.
var errorsByReason = map[vmlinkv1.Reason]error{
	vmlinkv1.Reason_REASON_WAITED:      upstreampool.ErrAcquireTimeout,
	vmlinkv1.Reason_REASON_FULL:        upstreampool.ErrBusy,
	vmlinkv1.Reason_REASON_WARMING:     upstreampool.ErrWarmingUp,
	vmlinkv1.Reason_REASON_CLOSED:      upstreampool.ErrClosed,
	vmlinkv1.Reason_REASON_NOT_PROVED:  upstreamrun.ErrNoEvidence,
	vmlinkv1.Reason_REASON_UNCONFIRMED: upstreamrun.ErrUnconfirmed,
}

func toFailure(err error) *vmlinkv1.Failure {
	var overloaded *upstreampool.OverloadedError
	if errors.As(err, &overloaded) {
		// VMs that do not know the overload take it for a wait that was too long.
		return &vmlinkv1.Failure{Reason: vmlinkv1.Reason_REASON_WAITED, Overload: toOverload(&overloaded.Refusal)}
	}
	for reason, known := range errorsByReason {
		if errors.Is(err, known) {
			return &vmlinkv1.Failure{Reason: reason}
		}
	}
	var refused *upstreampool.RefusedError
	if errors.As(err, &refused) {
		return &vmlinkv1.Failure{Reason: vmlinkv1.Reason_REASON_REFUSED, Code: string(refused.Code), Text: refused.Text}
	}
	f := &vmlinkv1.Failure{Reason: vmlinkv1.Reason_REASON_BROKEN, Text: err.Error(), TimedOut: upstreamrun.TimedOut(err)}
	var broken *upstreampool.BrokenError
	if errors.As(err, &broken) {
		f.Sent, f.Dialing = broken.Sent, broken.Dialing
		f.NothingListens = errors.Is(err, syscall.ECONNREFUSED)
	}
	return f
}

// fromFailure returns the error that occurred at the holder. A failure with a
// reason that this version does not know counts as sent: the statement may have
// run.
func fromFailure(id model.UpstreamID, f *vmlinkv1.Failure) error {
	if o := f.GetOverload(); o != nil && f.GetReason() == vmlinkv1.Reason_REASON_WAITED {
		return &upstreampool.OverloadedError{Upstream: id, Refusal: fromOverload(o)}
	}
	if known := errorsByReason[f.GetReason()]; known != nil {
		return known
	}
	if f.GetReason() == vmlinkv1.Reason_REASON_REFUSED {
		return &upstreampool.RefusedError{Upstream: id, Code: lineproto.Code(f.GetCode()), Text: f.GetText()}
	}
	sent := f.GetSent() || f.GetReason() != vmlinkv1.Reason_REASON_BROKEN
	return &upstreampool.BrokenError{Upstream: id, Sent: sent, Dialing: f.GetDialing(), Err: &remoteError{failure: f}}
}

// maxOverloadDelay bounds the times that a holder reports with a refusal: no statement
// waits for longer.
const maxOverloadDelay = time.Minute

func toOverload(r *admission.Refusal) *vmlinkv1.Overload {
	return &vmlinkv1.Overload{
		Cause: vmlinkv1.Overload_Cause(r.Cause), RetryAfterUs: r.RetryAfter.Microseconds(),
		EstimateUs: r.Estimate.Microseconds(), ServiceUs: r.Service.Microseconds(), Waiting: int32(r.Waiting),
	}
}

func fromOverload(o *vmlinkv1.Overload) admission.Refusal {
	bounded := func(us int64) time.Duration {
		return microseconds(min(max(us, 0), maxOverloadDelay.Microseconds()))
	}
	cause := admission.Cause(0)
	if c := o.GetCause(); c > 0 && c <= vmlinkv1.Overload_CAUSE_STALLED {
		cause = admission.Cause(c)
	}
	return admission.Refusal{
		Cause: cause, RetryAfter: bounded(o.GetRetryAfterUs()), Estimate: bounded(o.GetEstimateUs()),
		Service: bounded(o.GetServiceUs()), Waiting: int(o.GetWaiting()),
	}
}

// remoteError is an error that occurred at the holder.
type remoteError struct{ failure *vmlinkv1.Failure }

// Error returns the text of the error at the holder.
func (e *remoteError) Error() string { return "at the holder: " + e.failure.GetText() }

// Timeout reports whether the statement timed out at the holder.
func (e *remoteError) Timeout() bool { return e.failure.GetTimedOut() }

// Is reports whether target is ECONNREFUSED and the upstream refused the
// holder's connection.
func (e *remoteError) Is(target error) bool {
	return target == syscall.ECONNREFUSED && e.failure.GetNothingListens()
}
