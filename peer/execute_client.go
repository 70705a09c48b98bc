package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// OpenOn opens a stream to upstream u on vm, which holds the connections to u.
func (c *Clients) OpenOn(ctx context.Context, vm model.VMID, h executor.Hello, u model.UpstreamID) (executor.Stream, error) {
	if c.liveness.unresponsive(vm) {
		return nil, unresponsiveError(vm)
	}
	client, err := c.client(vm)
	if err != nil {
		return nil, sqlstate.Refuse(sqlstate.UpstreamUnavailable, err.Error())
	}
	// ctx limits only the opening of the stream, not its lifetime.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	rpc, err := client.Execute(streamCtx)
	if err != nil {
		cancel()
		return nil, sqlstate.Refuse(sqlstate.UpstreamUnavailable, fmt.Sprintf("cannot reach VM %s", vm))
	}
	hello := &peerv1.ExecuteRequest{Message: &peerv1.ExecuteRequest_Hello{Hello: helloToProto(h, u)}}
	if err := rpc.Send(hello); err != nil {
		cancel()
		return nil, sqlstate.Refuse(sqlstate.UpstreamUnavailable, fmt.Sprintf("cannot reach VM %s", vm))
	}
	return &remoteStream{rpc: rpc, cancel: cancel, vm: vm, liveness: c.liveness}, nil
}

// unresponsiveError returns the error of a batch that was not sent because the
// VM is unresponsive. The router then tries the other holder of the upstream.
func unresponsiveError(vm model.VMID) error {
	return sqlstate.Refuse(sqlstate.ConnectionFailure, fmt.Sprintf("VM %s does not answer", vm))
}

// remoteStream is an executor.Stream that runs batches on a peer.
type remoteStream struct {
	rpc    peerv1.Peer_ExecuteClient
	cancel context.CancelFunc
	vm     model.VMID
	// liveness cancels the stream when the VM is unresponsive during a batch.
	liveness *liveness

	mu sync.Mutex
	// runningID is the id of the running batch, or 0.
	runningID uint64
	broken    bool
}

// Run implements executor.Stream.
func (s *remoteStream) Run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	if s.liveness.unresponsive(s.vm) {
		return executor.Result{}, unresponsiveError(s.vm)
	}
	s.liveness.begin(s)
	defer s.liveness.end(s)
	s.setRunningID(b.ID)
	defer s.setRunningID(0)
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	m := &peerv1.ExecuteRequest{Message: &peerv1.ExecuteRequest_Batch{Batch: batchToProto(b, time.Now())}}
	if err := s.send(m); err != nil {
		// gRPC may have sent the message before the error.
		return executor.Result{}, s.connectionLost(b)
	}
	return s.receive(b, sink)
}

func (s *remoteStream) receive(b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	for {
		m, err := s.rpc.Recv()
		if err != nil {
			return executor.Result{}, s.connectionLost(b)
		}
		if m.GetLast() && m.GetError() != nil && m.GetId() == 0 {
			// The peer refused the stream without reading the batch.
			s.broken = true
			return resultFromProto(m), errorFromProto(m.GetError())
		}
		if m.GetId() != b.ID {
			continue
		}
		if m.GetLast() {
			return resultFromProto(m), errorFromProto(m.GetError())
		}
		if err := sink(m.GetMessages()); err != nil {
			s.cancel()
			return executor.Result{}, sqlstate.Unknown("the caller's connection failed")
		}
	}
}

// connectionLost marks the stream as broken and returns the error of batch b,
// which may have been sent.
func (s *remoteStream) connectionLost(b *executor.Batch) error {
	s.broken = true
	message := fmt.Sprintf("the connection to VM %s failed", s.vm)
	if b.Class == model.Read {
		return &sqlstate.Error{Code: sqlstate.ConnectionFailure, Message: message}
	}
	return sqlstate.Unknown(message)
}

// Cancel implements executor.Stream.
func (s *remoteStream) Cancel() {
	s.mu.Lock()
	runningID := s.runningID
	s.mu.Unlock()
	if runningID == 0 {
		return
	}
	m := &peerv1.ExecuteRequest{Message: &peerv1.ExecuteRequest_Cancel{Cancel: &peerv1.ExecuteCancel{Id: runningID}}}
	// If the send fails, the stream is broken, which ends the batch as well.
	_ = s.send(m)
}

// Close implements executor.Stream.
func (s *remoteStream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.rpc.CloseSend()
	s.cancel()
	return err
}

func (s *remoteStream) setRunningID(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningID = id
}

func (s *remoteStream) send(m *peerv1.ExecuteRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rpc.Send(m)
}
