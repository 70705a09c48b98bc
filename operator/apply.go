package operator

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/pause"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

const (
	// retainedVersions limits the number of versions in the store, which bounds
	// the size of the history.
	retainedVersions = 1000
	// readBackInterval is the time between two attempts to find out the outcome of
	// a change whose response was lost.
	readBackInterval = 200 * time.Millisecond
	maxFieldBytes    = 1000
	// maxRecordBytes is the store's limit of 1 MB for a value, less the space of
	// the other fields.
	maxRecordBytes = 1_000_000
)

// errHistoryAhead reports that the store rejected a change although the current
// configuration still has the expected version.
var errHistoryAhead = errors.New("the history has the next version, but the current configuration is older")

// change is an ApplyConfig request that is being processed.
type change struct {
	server   *Server
	request  *operatorv1.ApplyConfigRequest
	expected uint64
	record   config.Record
	encoded  []byte
}

// current is the content of the store's current key. It is zero before the first
// configuration.
type current struct {
	record   config.Record
	revision int64
}

// ApplyConfig replaces the configuration if its current version is the expected
// one. It is idempotent: a repeated request with the same id has no further
// effect.
func (s *Server) ApplyConfig(ctx context.Context, r *operatorv1.ApplyConfigRequest) (*operatorv1.ApplyConfigResponse, error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	if _, list := config.Parse("configuration", r.GetDocument()); len(list) > 0 {
		return &operatorv1.ApplyConfigResponse{
			Outcome:  operatorv1.ApplyConfigResponse_OUTCOME_INVALID,
			Findings: toFindings(list),
		}, nil
	}
	c, err := s.newChange(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.readBackTimeout)
	defer cancel()
	return c.run(ctx)
}

func checkRequest(r *operatorv1.ApplyConfigRequest) error {
	if r.GetRequestId() == "" || r.GetAuthor() == "" {
		return status.Error(codes.InvalidArgument, "request_id and author must not be empty")
	}
	if len(r.GetRequestId()) > maxFieldBytes || len(r.GetAuthor()) > maxFieldBytes || len(r.GetSummary()) > maxFieldBytes {
		return status.Errorf(codes.InvalidArgument, "request_id, author and summary must have at most %d bytes each", maxFieldBytes)
	}
	return nil
}

func (s *Server) newChange(r *operatorv1.ApplyConfigRequest) (*change, error) {
	c := &change{server: s, request: r, expected: r.GetExpectedVersion()}
	c.record = config.Record{
		Version:        c.expected + 1,
		RequestID:      r.GetRequestId(),
		Author:         r.GetAuthor(),
		Summary:        r.GetSummary(),
		AcceptedUnixMS: s.now().UnixMilli(),
		Document:       string(r.GetDocument()),
	}
	var err error
	c.encoded, err = config.EncodeRecord(c.record)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if len(c.encoded) > maxRecordBytes {
		return nil, status.Errorf(codes.InvalidArgument,
			"the configuration has %d bytes as stored; the limit is %d", len(c.encoded), maxRecordBytes)
	}
	return c, nil
}

// run applies the change. If the store is unavailable when run reads the current
// version, nothing has been changed.
func (c *change) run(ctx context.Context) (*operatorv1.ApplyConfigResponse, error) {
	now, err := c.readCurrent(ctx)
	if errors.Is(err, store.ErrUnavailable) {
		return outcome(operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE), nil
	}
	if err != nil {
		return nil, storeError(err)
	}
	if now.record.Version != c.expected {
		return c.superseded(ctx, now.record)
	}
	return c.compareAndSwap(ctx, now)
}

func (c *change) readCurrent(ctx context.Context) (current, error) {
	kv, err := c.server.store.Get(ctx, config.CurrentKey)
	if err != nil || kv.ModRevision == 0 {
		return current{}, err
	}
	record, err := config.DecodeRecord(kv.Value)
	return current{record: record, revision: kv.ModRevision}, err
}

// compareAndSwap writes the change to the store. If the response is lost, it reads
// the version's history entry, and writes the change again only if there is none.
// The conditions let at most one of the two writes succeed.
func (c *change) compareAndSwap(ctx context.Context, now current) (*operatorv1.ApplyConfigResponse, error) {
	for {
		result, err := c.server.store.Txn(ctx, c.conditions(now), c.writes())
		switch {
		case err == nil && result.Succeeded:
			return c.accepted(c.record), nil
		case err == nil:
			return c.refused(ctx)
		case !errors.Is(err, store.ErrUnavailable):
			return nil, storeError(err)
		}
		winner, found, err := c.readBack(ctx)
		if err != nil {
			return outcome(operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN), nil
		}
		if found {
			return c.decided(winner, winner.Version), nil
		}
		if !pause.For(ctx, readBackInterval) {
			return outcome(operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN), nil
		}
	}
}

func (c *change) conditions(now current) []store.Condition {
	return []store.Condition{
		{Key: config.CurrentKey, ModRevision: now.revision},
		{Key: config.HistoryKey(c.record.Version), ModRevision: 0},
	}
}

func (c *change) writes() []store.Write {
	writes := []store.Write{
		{Key: config.CurrentKey, Value: c.encoded},
		{Key: config.HistoryKey(c.record.Version), Value: c.encoded},
	}
	if c.record.Version > retainedVersions {
		oldest := config.HistoryKey(c.record.Version - retainedVersions)
		writes = append(writes, store.Write{Key: oldest, Delete: true})
	}
	return writes
}

// readBack reads the change that became the version. It retries until ctx is done.
func (c *change) readBack(ctx context.Context) (config.Record, bool, error) {
	for {
		record, found, err := c.server.readRecord(ctx, config.HistoryKey(c.record.Version))
		if !errors.Is(err, store.ErrUnavailable) || !pause.For(ctx, readBackInterval) {
			return record, found, err
		}
	}
}

// refused returns the response to a change whose conditions did not hold: another
// change, or an earlier attempt of this one, became the version.
func (c *change) refused(ctx context.Context) (*operatorv1.ApplyConfigResponse, error) {
	winner, found, err := c.readBack(ctx)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return outcome(operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN), nil
	case err != nil:
		return nil, storeError(err)
	case found:
		return c.decided(winner, winner.Version), nil
	}
	now, err := c.readCurrent(ctx)
	if err != nil {
		return nil, storeError(err)
	}
	if now.record.Version == c.expected {
		return nil, status.Error(codes.FailedPrecondition, errHistoryAhead.Error())
	}
	return c.superseded(ctx, now.record)
}

// superseded returns the response to a request whose expected version is not the
// newest one. The change that became the next version may be that of this
// request.
func (c *change) superseded(ctx context.Context, newest config.Record) (*operatorv1.ApplyConfigResponse, error) {
	winner := newest
	if newest.Version > c.record.Version {
		record, found, err := c.readBack(ctx)
		if errors.Is(err, store.ErrUnavailable) {
			return outcome(operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN), nil
		}
		if err != nil {
			return nil, storeError(err)
		}
		if found {
			winner = record
		}
	}
	return c.decided(winner, newest.Version), nil
}

// decided returns the response once winner, the change that became the version,
// is known.
func (c *change) decided(winner config.Record, newest uint64) *operatorv1.ApplyConfigResponse {
	if winner.RequestID == c.request.GetRequestId() {
		return c.accepted(winner)
	}
	response := outcome(operatorv1.ApplyConfigResponse_OUTCOME_CONFLICT)
	response.Version = newest
	response.Winner = toResponse(winner)
	return response
}

func (c *change) accepted(record config.Record) *operatorv1.ApplyConfigResponse {
	c.server.backend.Accepted(record)
	response := outcome(operatorv1.ApplyConfigResponse_OUTCOME_ACCEPTED)
	response.Version = record.Version
	return response
}

func outcome(o operatorv1.ApplyConfigResponse_Outcome) *operatorv1.ApplyConfigResponse {
	return &operatorv1.ApplyConfigResponse{Outcome: o}
}
