// Package holderlink lets a VM run statements on the connections that another
// VM, the holder, has to an upstream. It transports the requests of package
// upstreamrun over gRPC.
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

// roundTripAllowance is added to a statement's deadline for the network round
// trip, so that the holder's own time-out error arrives before the call ends.
const roundTripAllowance = 50 * time.Millisecond

// UnreachableError is the error of a call that the holder did not answer.
type UnreachableError struct {
	VM  model.VMID
	Err error
}

// Error returns a text with the holder and the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("holder %s: %v", e.VM, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Timeout reports whether the call exceeded its deadline.
func (e *UnreachableError) Timeout() bool { return status.Code(e.Err) == codes.DeadlineExceeded }

// Report is the load and state of the holder, sent with each answer.
type Report struct {
	// Spent is the time for which the holder worked on the request.
	Spent time.Duration
	// Stopping is true if the holder is shutting down and should get no new
	// statements.
	Stopping bool
	// InFlight is how many statements run on or wait for the upstream at the
	// holder.
	InFlight int
	// Arrivals is how many statements the holder has received for the upstream, from
	// all VMs, since it first used it.
	Arrivals uint64
	// ServiceTime is how long a statement takes on the upstream without waiting, 0 if
	// unknown.
	ServiceTime time.Duration
}

// Client calls one holder.
type Client struct {
	vm  model.VMID
	rpc vmlinkv1.HolderClient
}

// NewClient returns a client that uses conn. The caller closes conn.
func NewClient(vm model.VMID, conn grpc.ClientConnInterface) *Client {
	return &Client{vm: vm, rpc: vmlinkv1.NewHolderClient(conn)}
}

// unreachable wraps the error of a failed call. The holder may have run the
// statement, so the error counts as sent.
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
