package holderlink

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// idleMargin is added to the idle limit of a transaction at the holder, so that
// the caller's VM ends an idle transaction first. The holder's limit applies only
// if that VM is gone.
const idleMargin = 500 * time.Millisecond

// Server runs statements for other VMs.
type Server struct {
	vmlinkv1.UnimplementedHolderServer

	// Local runs statements on this VM's connections.
	Local *upstreamrun.Local
	// Admit is called with the upstream before each statement outside of a
	// transaction and before each transaction. If it returns an error, they are
	// not run.
	Admit func(model.UpstreamID) error
	// Stopping reports whether this VM is shutting down.
	Stopping func() bool

	inFlight atomic.Int64
	served   atomic.Int64
}

// Served returns how many statements and transactions of other VMs this VM has
// received.
func (s *Server) Served() int { return int(s.served.Load()) }

// InFlight returns how many statements and transactions of other VMs are in
// progress on this VM.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

func (s *Server) countCall() {
	s.inFlight.Add(1)
	s.served.Add(1)
}

// Check implements the health check of holders. It answers at once.
func (s *Server) Check(context.Context, *vmlinkv1.CheckRequest) (*vmlinkv1.CheckResponse, error) {
	return &vmlinkv1.CheckResponse{Stopping: s.Stopping()}, nil
}

// Run runs one statement outside of a transaction.
func (s *Server) Run(_ context.Context, r *vmlinkv1.RunRequest) (*vmlinkv1.RunResponse, error) {
	s.countCall()
	defer s.inFlight.Add(-1)
	start := time.Now()
	request := upstreamrun.Request{
		Place: fromPlace(r.GetPlace()), Statement: fromStatement(r.GetStatement()),
		Mode: upstreamrun.Mode(r.GetMode()), Session: fromSession(r.GetSession()),
	}
	if request.Mode > upstreamrun.ModePrimary {
		return nil, status.Error(codes.InvalidArgument, "unknown mode")
	}
	var o upstreamrun.Outcome
	err := s.Admit(request.Upstream)
	if err == nil {
		o, err = s.Local.Run(&request)
	}
	return s.response(request.Upstream, start, &o, err), nil
}

func (s *Server) response(id model.UpstreamID, start time.Time, o *upstreamrun.Outcome, err error) *vmlinkv1.RunResponse {
	r := toResponse(o, err)
	r.SpentUs = time.Since(start).Microseconds()
	r.Stopping = s.Stopping()
	if pool := s.Local.Cluster.Pool(id); pool != nil {
		f := pool.Figures()
		r.UnderWay, r.Arrivals, r.ServiceUs = int32(f.InFlight), f.Arrivals, f.ServiceTime.Microseconds()
	}
	return r
}

// Transact runs one transaction.
func (s *Server) Transact(stream grpc.BidiStreamingServer[vmlinkv1.TransactRequest, vmlinkv1.RunResponse]) error {
	s.countCall()
	defer s.inFlight.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetOpen() == nil {
		return status.Error(codes.InvalidArgument, "a transaction starts with its opening")
	}
	start := time.Now()
	open := first.GetOpen()
	request := upstreamrun.OpenRequest{
		Place: fromPlace(open.GetPlace()), ReadOnly: open.GetReadOnly(), Session: fromSession(open.GetSession()),
		IdleLimit: microseconds(open.GetIdleLimitUs()),
	}
	var tx upstreamrun.Tx
	var o upstreamrun.Outcome
	if err = s.Admit(request.Upstream); err == nil {
		tx, o, err = s.Local.Open(&request)
	}
	if tx != nil {
		defer tx.Discard()
	}
	if sent := stream.Send(s.response(request.Upstream, start, &o, err)); sent != nil || err != nil || tx == nil {
		return sent
	}
	return s.runStatements(stream, &request, tx)
}

// runStatements runs the statements of an open transaction until it ends.
func (s *Server) runStatements(stream grpc.BidiStreamingServer[vmlinkv1.TransactRequest, vmlinkv1.RunResponse], open *upstreamrun.OpenRequest, tx upstreamrun.Tx) error {
	for {
		r, err := s.recv(stream, open)
		if errors.Is(err, io.EOF) || r.GetRollback() {
			tx.Rollback()
			return nil
		}
		if err != nil {
			return err
		}
		st := r.GetStatement()
		start := time.Now()
		var o upstreamrun.Outcome
		o.Answer, err = tx.Send(&upstreamrun.TxRequest{
			Statement: fromStatement(st.GetStatement()), Session: fromSession(st.GetSession()),
			Wait: microseconds(st.GetWaitUs()), Deadline: start.Add(microseconds(st.GetTimeoutUs())),
			TraceParent: st.GetTraceparent(),
		})
		sent := stream.Send(s.response(open.Upstream, start, &o, err))
		if sent != nil || err != nil || o.Ready.State == lineproto.Idle {
			return sent
		}
	}
}

// recvResult is the result of a Recv on a stream.
type recvResult struct {
	request *vmlinkv1.TransactRequest
	err     error
}

// recv waits for the next message. If the transaction has an idle limit, the wait
// is bounded by that limit plus idleMargin.
func (s *Server) recv(stream grpc.BidiStreamingServer[vmlinkv1.TransactRequest, vmlinkv1.RunResponse], open *upstreamrun.OpenRequest) (*vmlinkv1.TransactRequest, error) {
	if open.IdleLimit <= 0 {
		return stream.Recv()
	}
	messages := make(chan recvResult, 1)
	go func() {
		r, err := stream.Recv()
		messages <- recvResult{r, err}
	}()
	timer := time.NewTimer(open.IdleLimit + idleMargin)
	defer timer.Stop()
	select {
	case m := <-messages:
		return m.request, m.err
	case <-timer.C:
		return nil, status.Error(codes.DeadlineExceeded, "the transaction rested for too long")
	}
}
