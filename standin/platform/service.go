package platform

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
)

// Get implements the Platform service.
func (s *Server) Get(_ context.Context, req *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &platformv1.GetResponse{Kv: s.store.get(req.Key), Revision: s.store.revision}, nil
}

// Range implements the Platform service.
func (s *Server) Range(_ context.Context, req *platformv1.RangeRequest) (*platformv1.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &platformv1.RangeResponse{
		Kvs:      s.store.scan(req.Prefix, req.Limit),
		Revision: s.store.revision,
	}, nil
}

// Txn implements the Platform service.
func (s *Server) Txn(_ context.Context, req *platformv1.TxnRequest) (*platformv1.TxnResponse, error) {
	s.mu.Lock()
	resp, err := s.store.txn(req)
	s.mu.Unlock()
	if s.faults.consumeLostAnswer() {
		return nil, status.Error(codes.Unavailable, "the answer is lost")
	}
	return resp, err
}

// LeaseGrant implements the Platform service.
func (s *Server) LeaseGrant(_ context.Context, req *platformv1.LeaseGrantRequest) (*platformv1.LeaseGrantResponse, error) {
	if req.TtlMs <= 0 {
		return nil, status.Error(codes.InvalidArgument, "ttl_ms must be above 0")
	}
	ttl := time.Duration(req.TtlMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.store.nextLease
	s.store.nextLease++
	s.store.leases[id] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.endLease(id) }),
		keys:  make(map[string]struct{}),
	}
	return &platformv1.LeaseGrantResponse{LeaseId: id, TtlMs: req.TtlMs}, nil
}

// LeaseKeepAlive implements the Platform service.
func (s *Server) LeaseKeepAlive(_ context.Context, req *platformv1.LeaseKeepAliveRequest) (*platformv1.LeaseKeepAliveResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.store.leases[req.LeaseId]
	// A timer that cannot be stopped has fired, so the lease has expired.
	if l == nil || !l.timer.Stop() {
		return &platformv1.LeaseKeepAliveResponse{}, nil
	}
	l.timer.Reset(l.ttl)
	return &platformv1.LeaseKeepAliveResponse{TtlMs: l.ttl.Milliseconds()}, nil
}

// LeaseRevoke implements the Platform service.
func (s *Server) LeaseRevoke(_ context.Context, req *platformv1.LeaseRevokeRequest) (*platformv1.LeaseRevokeResponse, error) {
	s.endLease(req.LeaseId)
	return &platformv1.LeaseRevokeResponse{}, nil
}

func (s *Server) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.endLease(id)
}

// Watch implements the Platform service. A start revision of 0 means that the
// watch starts at the next change. Setting the stand-in to be down or to hang
// ends the watch with Unavailable.
func (s *Server) Watch(req *platformv1.WatchRequest, stream grpc.ServerStreamingServer[platformv1.WatchResponse]) error {
	next := req.StartRevision
	for {
		down, hang, faultsChanged := s.faults.state()
		if down || hang {
			return errDown()
		}
		s.mu.Lock()
		if next == 0 {
			next = s.store.revision + 1
		}
		changes, ok := s.store.since(next)
		changed := s.store.changed
		s.mu.Unlock()
		if !ok {
			return status.Errorf(codes.OutOfRange, "revision %d is no longer in the history", next)
		}
		for _, change := range changes {
			if err := sendMatching(stream, change, req.Prefix); err != nil {
				return err
			}
			next = change.Revision + 1
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		}
	}
}

// sendMatching sends the keys of a change that have the prefix, if any.
func sendMatching(stream grpc.ServerStreamingServer[platformv1.WatchResponse], change *platformv1.WatchResponse, prefix string) error {
	matching := &platformv1.WatchResponse{Revision: change.Revision}
	for _, kv := range change.Changes {
		if strings.HasPrefix(kv.Key, prefix) {
			matching.Changes = append(matching.Changes, kv)
		}
	}
	if len(matching.Changes) == 0 {
		return nil
	}
	return stream.Send(matching)
}
