package client

import (
	"context"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

type outcome = operatorv1.ApplyConfigResponse_Outcome

const (
	accepted    = operatorv1.ApplyConfigResponse_OUTCOME_ACCEPTED
	conflict    = operatorv1.ApplyConfigResponse_OUTCOME_CONFLICT
	unavailable = operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE
	unknown     = operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN
	// unresponsive is a daemon that receives the call and does not answer;
	// unreachable is one to which no connection can be made.
	unresponsive outcome = -1
	unreachable  outcome = -2
)

// fakeDaemon answers ApplyConfig with a fixed outcome, and each WaitInForce call
// with the messages of the next stream, which then breaks.
type fakeDaemon struct {
	operatorv1.OperatorClient
	outcome    outcome
	requestIDs []string
	streams    [][]*operatorv1.WaitInForceResponse
}

func (f *fakeDaemon) endpoint() endpoint {
	return endpoint{f, func(context.Context) bool { return f.outcome != unreachable }}
}

func (f *fakeDaemon) ApplyConfig(_ context.Context, r *operatorv1.ApplyConfigRequest, _ ...grpc.CallOption) (*operatorv1.ApplyConfigResponse, error) {
	f.requestIDs = append(f.requestIDs, r.GetRequestId())
	if f.outcome == unresponsive {
		return nil, status.Error(codes.Unavailable, "silent")
	}
	return &operatorv1.ApplyConfigResponse{Outcome: f.outcome}, nil
}

func (f *fakeDaemon) WaitInForce(context.Context, *operatorv1.WaitInForceRequest, ...grpc.CallOption) (grpc.ServerStreamingClient[operatorv1.WaitInForceResponse], error) {
	if len(f.streams) == 0 {
		return nil, status.Error(codes.Unavailable, "silent")
	}
	messages := f.streams[0]
	f.streams = f.streams[1:]
	return &fakeStream{messages: messages}, nil
}

type fakeStream struct {
	grpc.ClientStream
	messages []*operatorv1.WaitInForceResponse
}

func (f *fakeStream) Recv() (*operatorv1.WaitInForceResponse, error) {
	if len(f.messages) == 0 {
		return nil, status.Error(codes.Unavailable, "stream broken")
	}
	m := f.messages[0]
	f.messages = f.messages[1:]
	return m, nil
}

// A change that may have been applied must not be reported as not applied, and every
// daemon has to get the same request id, so that the change is not applied twice.
func TestApplyMovesToTheNextDaemon(t *testing.T) {
	cases := []struct {
		daemons []outcome
		want    outcome
		calls   int
	}{
		{[]outcome{accepted, accepted}, accepted, 1},
		{[]outcome{unresponsive, accepted}, accepted, 2},
		{[]outcome{unknown, conflict}, conflict, 2},
		{[]outcome{unresponsive, unavailable}, unknown, 2},
		{[]outcome{unknown, unavailable}, unknown, 2},
		{[]outcome{unavailable, unavailable}, unavailable, 2},
		{[]outcome{unresponsive, unresponsive}, unknown, 2},
		{[]outcome{unreachable, accepted}, accepted, 1},
		{[]outcome{unreachable, unavailable}, unavailable, 1},
		{[]outcome{unresponsive, unreachable}, unknown, 1},
	}
	for _, c := range cases {
		client := &Client{}
		var fakes []*fakeDaemon
		for _, o := range c.daemons {
			f := &fakeDaemon{outcome: o}
			fakes = append(fakes, f)
			client.daemons = append(client.daemons, f.endpoint())
		}
		answer, err := client.Apply(t.Context(), &operatorv1.ApplyConfigRequest{RequestId: "r"})
		var requestIDs []string
		for _, f := range fakes {
			requestIDs = append(requestIDs, f.requestIDs...)
		}
		if err != nil || answer.GetOutcome() != c.want || !slices.Equal(requestIDs, slices.Repeat([]string{"r"}, c.calls)) {
			t.Errorf("%v: got %v, %v after %q; want %v after %d calls", c.daemons, answer.GetOutcome(), err, requestIDs, c.want, c.calls)
		}
	}
}

// The wait has to go on with the next daemon when the one that reports progress is
// lost.
func TestWaitInForceMovesToTheNextDaemon(t *testing.T) {
	first := &fakeDaemon{streams: [][]*operatorv1.WaitInForceResponse{{{Missing: []string{"vm2"}}}}}
	second := &fakeDaemon{streams: [][]*operatorv1.WaitInForceResponse{{{Confirmed: []string{"vm1", "vm2"}, Done: true}}}}
	client := &Client{daemons: []endpoint{first.endpoint(), second.endpoint()}}
	calls := 0
	last := client.WaitInForce(t.Context(), 1, time.Minute, func(*operatorv1.WaitInForceResponse) { calls++ })
	if !last.GetDone() || calls != 2 {
		t.Errorf("got %v after %d messages", last, calls)
	}
}
