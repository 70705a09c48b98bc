// Package holderlink lets a VM run statements over the connections that another
// VM, the holder, has to an upstream. It carries upstreamrun's requests over gRPC.
package holderlink

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/core/model"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// roundTripAllowance is added to a statement's time limit for the way to the holder
// and back, so that the holder's own answer to a limit arrives.
const roundTripAllowance = 50 * time.Millisecond

// UnreachableError means that the holder did not answer.
type UnreachableError struct {
	VM  model.VMID
	Err error
}

// Error names the holder and the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("holder %s: %v", e.VM, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Timeout reports whether the time limit passed.
func (e *UnreachableError) Timeout() bool { return status.Code(e.Err) == codes.DeadlineExceeded }

// Report is what a holder's answer tells about the holder.
type Report struct {
	// Spent is how long the holder took.
	Spent time.Duration
	// Stopping is true when new statements are to go elsewhere.
	Stopping bool
	// InFlight is how many statements run or wait there for the upstream.
	InFlight int
}

// Client calls one holder.
type Client struct {
	vm  model.VMID
	rpc vmlinkv1.HolderClient
}

// NewClient returns a client on a connection that the caller owns.
func NewClient(vm model.VMID, conn grpc.ClientConnInterface) *Client {
	return &Client{vm: vm, rpc: vmlinkv1.NewHolderClient(conn)}
}

// unreachable wraps a failed call. A call that was made may have been carried out.
func (c *Client) unreachable(id model.UpstreamID, err error) error {
	return &upstreampool.BrokenError{Upstream: id, Sent: true, Err: &UnreachableError{VM: c.vm, Err: err}}
}

// Check asks whether the holder answers.
func (c *Client) Check(ctx context.Context) (stopping bool, err error) {
	r, err := c.rpc.Check(ctx, &vmlinkv1.CheckRequest{})
	return r.GetStopping(), err
}

// Run runs a statement outside of a transaction.
func (c *Client) Run(r *upstreamrun.Request) (upstreamrun.Outcome, Report, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline.Add(roundTripAllowance))
	defer cancel()
	a, err := c.rpc.Run(ctx, &vmlinkv1.RunRequest{
		Place: toPlace(&r.Place), Statement: toStatement(&r.Statement),
		Mode: vmlinkv1.Mode(r.Mode), Session: toSession(&r.Session),
	})
	if err != nil {
		return upstreamrun.Outcome{}, Report{}, c.unreachable(r.Upstream, err)
	}
	o, err := fromResponse(r.Upstream, a)
	return o, reportOf(a), err
}
