// Package relay forwards reads and changes of the configuration to the relay of
// the VM's zone, which is the only VM of the zone that calls the platform's store.
// The relay serves Get and Txn of proto/platform/v1 to its peers, but only for the
// keys of the configuration.
package relay

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/core/config"
	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/store/grpcstore"
)

// keyPrefix is the prefix of the keys that peers may access through the relay.
const keyPrefix = "config/"

// RelayConn returns the connection to the zone's relay, or nil if this VM is the
// relay.
type RelayConn func() grpc.ClientConnInterface

// Store implements operator.Store. It calls the store directly if this VM is the
// relay, and through the relay otherwise.
type Store struct {
	local     store.Store
	relayConn RelayConn
	options   grpcstore.Options
}

// NewStore returns a Store. Only Timeout and Metrics of the options are used.
func NewStore(local store.Store, relayConn RelayConn, o grpcstore.Options) *Store {
	return &Store{local: local, relayConn: relayConn, options: o}
}

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if conn := s.relayConn(); conn != nil {
		return grpcstore.NewWithConn(conn, s.options).Get(ctx, key)
	}
	return s.local.Get(ctx, key)
}

// Txn applies all writes atomically if every condition holds, otherwise none.
func (s *Store) Txn(ctx context.Context, conditions []store.Condition, writes []store.Write) (store.TxnResult, error) {
	if conn := s.relayConn(); conn != nil {
		return grpcstore.NewWithConn(conn, s.options).Txn(ctx, conditions, writes)
	}
	return s.local.Txn(ctx, conditions, writes)
}

// Server serves Get and Txn to the peers of a relay.
type Server struct {
	platformv1.UnimplementedPlatformServer
	local     store.Store
	relayConn RelayConn
	onRecord  func(record []byte)
}

// NewServer returns a server that calls the local store. It rejects calls while
// another VM is the relay, so that a call is forwarded at most once. Before it
// responds, it calls onRecord with each configuration record that it read or
// wrote: the relay must know a change that was accepted through it, even if the
// store fails right after and the VM that requested the change dies.
func NewServer(local store.Store, relayConn RelayConn, onRecord func(record []byte)) *Server {
	return &Server{local: local, relayConn: relayConn, onRecord: onRecord}
}

// Get reads one key of the configuration.
func (s *Server) Get(ctx context.Context, r *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	if err := s.check(r.GetKey()); err != nil {
		return nil, err
	}
	kv, err := s.local.Get(ctx, r.GetKey())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if kv.ModRevision != 0 {
		s.onRecord(kv.Value)
	}
	return &platformv1.GetResponse{Kv: toKeyValue(kv)}, nil
}

// Txn changes keys of the configuration.
func (s *Server) Txn(ctx context.Context, r *platformv1.TxnRequest) (*platformv1.TxnResponse, error) {
	conditions := make([]store.Condition, len(r.GetConditions()))
	for i, c := range r.GetConditions() {
		conditions[i] = store.Condition{Key: c.GetKey(), ModRevision: c.GetModRevision()}
		if err := s.check(c.GetKey()); err != nil {
			return nil, err
		}
	}
	writes := make([]store.Write, len(r.GetWrites()))
	for i, w := range r.GetWrites() {
		writes[i] = store.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete(), Lease: w.GetLeaseId()}
		if err := s.check(w.GetKey()); err != nil {
			return nil, err
		}
	}
	result, err := s.local.Txn(ctx, conditions, writes)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	s.reportWritten(writes, result.Succeeded)
	response := &platformv1.TxnResponse{Succeeded: result.Succeeded, Revision: result.Revision}
	for _, kv := range result.Current {
		response.Current = append(response.Current, toKeyValue(kv))
	}
	return response, nil
}

func (s *Server) reportWritten(writes []store.Write, succeeded bool) {
	for _, w := range writes {
		if succeeded && w.Key == config.CurrentKey {
			s.onRecord(w.Value)
		}
	}
}

func (s *Server) check(key string) error {
	if !strings.HasPrefix(key, keyPrefix) {
		return status.Errorf(codes.PermissionDenied, "peers may use keys with the prefix %q only", keyPrefix)
	}
	if s.relayConn() != nil {
		return status.Error(codes.Unavailable, "this VM is not the relay of its zone")
	}
	return nil
}

func toKeyValue(kv store.KeyValue) *platformv1.KeyValue {
	return &platformv1.KeyValue{Key: kv.Key, Value: kv.Value, ModRevision: kv.ModRevision}
}
