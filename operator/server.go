// Package operator implements the operator API (proto/operator/v1), which reads
// and changes the configuration and reports its rollout. A change is a
// compare-and-swap in the platform's store.
package operator

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// Limits of the responses.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 100
	// progressInterval is the interval at which WaitInForce checks the progress.
	progressInterval = 50 * time.Millisecond
	maxWait          = 10 * time.Minute
)

// Backend is the part of the daemon that the service uses.
type Backend interface {
	// Config returns the configuration in force on this VM; ok is false if there
	// is none.
	Config() (record config.Record, ok bool)
	// Accepted reports that the store has accepted a version. It is called before
	// the operator gets the response, and returns once this VM reports the version
	// to its peers. Otherwise, if the store failed right after, the zone would
	// confirm the old version although it had accepted a newer one.
	Accepted(record config.Record)
	// Progress returns the live VMs that have confirmed that the version is in
	// force, and those that have not.
	Progress(version uint64) (confirmed, missing []model.VMID)
	Status() *operatorv1.StatusResponse
}

// Store is the part of store.Store that the service uses. Package operator/relay
// implements it by forwarding the calls to the zone's relay.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, error)
	Txn(ctx context.Context, conditions []store.Condition, writes []store.Write) (store.TxnResult, error)
}

// Server implements operatorv1.OperatorServer.
type Server struct {
	operatorv1.UnimplementedOperatorServer
	backend Backend
	store   Store
	// readBackTimeout limits the time of a change, including the time to find out
	// its outcome if the store's response is lost.
	readBackTimeout time.Duration
	now             func() time.Time
}

// DefaultReadBackTimeout is the time after which the outcome of a change whose
// response was lost is reported as unknown.
const DefaultReadBackTimeout = 10 * time.Second

// New returns a server. readBackTimeout limits the time of a change, including
// the time to find out its outcome if the store's response is lost.
func New(backend Backend, store Store, readBackTimeout time.Duration) *Server {
	return &Server{backend: backend, store: store, readBackTimeout: readBackTimeout, now: time.Now}
}

// GetConfig returns the version in force on this VM, or another version from the
// store.
func (s *Server) GetConfig(ctx context.Context, r *operatorv1.GetConfigRequest) (*operatorv1.GetConfigResponse, error) {
	record, ok := s.backend.Config()
	switch {
	case r.GetVersion() == 0 && !ok:
		return &operatorv1.GetConfigResponse{}, nil
	case r.GetVersion() == 0, ok && r.GetVersion() == record.Version:
		return toResponse(record), nil
	}
	record, found, err := s.readRecord(ctx, config.HistoryKey(r.GetVersion()))
	if err != nil {
		return nil, storeError(err)
	}
	if !found {
		return nil, status.Errorf(codes.NotFound, "the store has no version %d", r.GetVersion())
	}
	return toResponse(record), nil
}

// History returns the newest changes, newest first.
func (s *Server) History(ctx context.Context, r *operatorv1.HistoryRequest) (*operatorv1.HistoryResponse, error) {
	limit := int(r.GetLimit())
	if limit <= 0 {
		limit = defaultHistoryLimit
	}
	record, found, err := s.readRecord(ctx, config.CurrentKey)
	response := &operatorv1.HistoryResponse{}
	for found && err == nil && len(response.Changes) < min(limit, maxHistoryLimit) {
		change := toResponse(record)
		change.Document = nil
		response.Changes = append(response.Changes, change)
		if record.Version == 1 {
			break
		}
		record, found, err = s.readRecord(ctx, config.HistoryKey(record.Version-1))
	}
	if err != nil {
		return nil, storeError(err)
	}
	return response, nil
}

// Status returns what this VM knows about the other VMs and the databases.
func (s *Server) Status(context.Context, *operatorv1.StatusRequest) (*operatorv1.StatusResponse, error) {
	return s.backend.Status(), nil
}

// WaitInForce streams the progress of a version whenever it changes, until every
// live VM has confirmed the version or the time limit has passed.
func (s *Server) WaitInForce(r *operatorv1.WaitInForceRequest, stream grpc.ServerStreamingServer[operatorv1.WaitInForceResponse]) error {
	timeout := min(time.Duration(r.GetTimeoutMs())*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(stream.Context(), timeout)
	defer cancel()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()

	last := s.progress(r.GetVersion())
	for sendErr := stream.Send(last); ; {
		if sendErr != nil || last.Done {
			return sendErr
		}
		select {
		case <-ctx.Done():
			return stream.Context().Err()
		case <-ticker.C:
		}
		next := s.progress(r.GetVersion())
		if next.Done || !slices.Equal(next.Missing, last.Missing) || !slices.Equal(next.Confirmed, last.Confirmed) {
			sendErr = stream.Send(next)
		}
		last = next
	}
}

func (s *Server) progress(version uint64) *operatorv1.WaitInForceResponse {
	confirmed, missing := s.backend.Progress(version)
	return &operatorv1.WaitInForceResponse{
		Version:   version,
		Confirmed: vmNames(confirmed),
		Missing:   vmNames(missing),
		Done:      len(missing) == 0 && len(confirmed) > 0,
	}
}

// readRecord reads the record at a key, and reports whether the key exists.
func (s *Server) readRecord(ctx context.Context, key string) (config.Record, bool, error) {
	kv, err := s.store.Get(ctx, key)
	if err != nil || kv.ModRevision == 0 {
		return config.Record{}, false, err
	}
	record, err := config.DecodeRecord(kv.Value)
	return record, err == nil, err
}

// storeError converts an error of the store to a gRPC status.
func storeError(err error) error {
	if errors.Is(err, store.ErrUnavailable) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}
