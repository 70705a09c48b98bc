package operator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

const document = `{
	"preset": "ordinary",
	"presets": [{"name": "ordinary"}],
	"zones": [{"name": "a", "region": "r"}],
	"databases": [{"name": "d", "slots": 1, "connections": 10,
		"upstreams": [{"id": "u", "zone": "a", "address": "127.0.0.1:5432"}]}],
}`

type (
	response = operatorv1.ApplyConfigResponse
	result   = operatorv1.ApplyConfigResponse_Outcome
)

const (
	isAccepted    = operatorv1.ApplyConfigResponse_OUTCOME_ACCEPTED
	isConflict    = operatorv1.ApplyConfigResponse_OUTCOME_CONFLICT
	isInvalid     = operatorv1.ApplyConfigResponse_OUTCOME_INVALID
	isUnavailable = operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE
	isUnknown     = operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN
)

// fakeBackend is a Backend with one VM that has confirmed every version and one
// that lags behind.
type fakeBackend struct {
	mu             sync.Mutex
	record         config.Record
	laggingVersion uint64
	// accepted has the versions that the server reported as accepted.
	accepted []uint64
}

func (b *fakeBackend) Config() (config.Record, bool) { return b.record, b.record.Version > 0 }

func (b *fakeBackend) Accepted(r config.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted = append(b.accepted, r.Version)
}

func (b *fakeBackend) Status() *operatorv1.StatusResponse {
	return &operatorv1.StatusResponse{Vm: "vm1"}
}

// Progress advances the lagging VM by one version per call.
func (b *fakeBackend) Progress(version uint64) (confirmed, missing []model.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.laggingVersion++
	if b.laggingVersion > version {
		return []model.VMID{"vm1", "vm2"}, nil
	}
	return []model.VMID{"vm1"}, []model.VMID{"vm2"}
}

func newServer(store Store) *Server {
	return New(&fakeBackend{}, store, time.Second)
}

func apply(t *testing.T, s *Server, expected uint64, id string) *response {
	t.Helper()
	resp, err := s.ApplyConfig(t.Context(), &operatorv1.ApplyConfigRequest{
		ExpectedVersion: expected, Document: []byte(document), Author: "author-" + id, RequestId: id,
	})
	if err != nil {
		t.Fatalf("ApplyConfig(%s): %v", id, err)
	}
	return resp
}

func expect(t *testing.T, got *response, want result, version uint64) {
	t.Helper()
	if got.GetOutcome() != want || got.GetVersion() != version {
		t.Fatalf("got %v version %d, want %v version %d", got.GetOutcome(), got.GetVersion(), want, version)
	}
}

// Guards against lost and duplicate changes, and against a conflict that does not
// name the winner, when several operators change the same version at once.
func TestRaceOfOperators(t *testing.T) {
	const operators = 8
	store := newMemoryStore()
	// No operator writes before all have read the current version.
	var ready sync.WaitGroup
	ready.Add(operators)
	store.onTxn = func() { ready.Done(); ready.Wait() }
	s := newServer(store)

	responses := make([]*response, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { responses[i] = apply(t, s, 0, fmt.Sprint(i)) })
	}
	wg.Wait()

	winner := ""
	for i, a := range responses {
		if a.GetOutcome() == isAccepted {
			winner += fmt.Sprintf("author-%d", i)
		}
	}
	for i, a := range responses {
		if a.GetOutcome() == isAccepted {
			continue
		}
		expect(t, a, isConflict, 1)
		if a.GetWinner().GetAuthor() != winner {
			t.Errorf("operator %d: the winner is %q, want %q", i, a.GetWinner().GetAuthor(), winner)
		}
	}
}

// Guards against a lost response of the store that is reported as a failure, that
// makes the change take effect twice, or that overwrites another change.
func TestLostAnswer(t *testing.T) {
	cases := []struct {
		name     string
		txn, get []fault
		want     result
		version  uint64
		txns     int
		changes  int64
	}{
		{"change took effect", []fault{lostResponse}, nil, isAccepted, 1, 1, 1},
		{"change did not take effect", []fault{failed}, nil, isAccepted, 1, 2, 1},
		{"lost twice", []fault{failed, lostResponse}, nil, isAccepted, 1, 2, 1},
		{"reading back fails at first", []fault{lostResponse}, []fault{none, failed, failed}, isAccepted, 1, 1, 1},
		{"reading back fails", []fault{lostResponse}, append([]fault{none}, repeat(failed)...), isUnknown, 0, 1, 1},
		{"store was down before", nil, repeat(failed), isUnavailable, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			store.txnFaults = c.txn
			store.getFaults = c.get
			backend := &fakeBackend{}
			expect(t, apply(t, New(backend, store, time.Second), 0, "r1"), c.want, c.version)
			if told := len(backend.accepted) == 1; told != (c.want == isAccepted) {
				t.Errorf("versions reported as accepted: %v", backend.accepted)
			}
			if store.txns != c.txns || store.revision != c.changes {
				t.Errorf("%d transactions, %d changes; want %d, %d", store.txns, store.revision, c.txns, c.changes)
			}
		})
	}
}

// Guards against a lost response after which the change is written although
// another change has become the version in the meantime.
func TestAnotherChangeWinsWhileTheAnswerIsLost(t *testing.T) {
	store := newMemoryStore()
	s := newServer(store)
	store.txnFaults = []fault{none, failed}
	store.onTxn = func() {
		store.onTxn = nil
		expect(t, apply(t, s, 0, "other"), isAccepted, 1)
	}
	response := apply(t, s, 0, "r1")
	expect(t, response, isConflict, 1)
	if store.txns != 2 || response.GetWinner().GetAuthor() != "author-other" {
		t.Errorf("%d transactions, winner %v", store.txns, response.GetWinner())
	}
}

func repeat(f fault) []fault {
	faults := make([]fault, 1000)
	for i := range faults {
		faults[i] = f
	}
	return faults
}

// Guards against a repeated request that conflicts with its own change, also when
// other changes have followed.
func TestRepeatedRequest(t *testing.T) {
	s := newServer(newMemoryStore())
	expect(t, apply(t, s, 0, "r1"), isAccepted, 1)
	expect(t, apply(t, s, 0, "r1"), isAccepted, 1)
	expect(t, apply(t, s, 1, "r2"), isAccepted, 2)
	expect(t, apply(t, s, 0, "r1"), isAccepted, 1)

	stale := apply(t, s, 0, "r3")
	expect(t, stale, isConflict, 2)
	if got := stale.GetWinner(); got.GetVersion() != 1 || got.GetAuthor() != "author-r1" {
		t.Errorf("winner = %v", got)
	}
}

// Guards against versions that go back after a request whose expected version is
// above the current one. Such a request is a conflict with the current version.
func TestExpectedVersionFromTheFuture(t *testing.T) {
	s := newServer(newMemoryStore())
	expect(t, apply(t, s, 0, "r1"), isAccepted, 1)
	expect(t, apply(t, s, 7, "r2"), isConflict, 1)
}

func TestInvalidDocumentReturnsAllFindings(t *testing.T) {
	response, err := newServer(newMemoryStore()).ApplyConfig(t.Context(), &operatorv1.ApplyConfigRequest{
		Document: []byte(strings.Replace(document, `"slots": 1, "connections": 10`, `"slots": 0, "connections": 9`, 1)),
		Author:   "a", RequestId: "r",
	})
	if err != nil {
		t.Fatal(err)
	}
	expect(t, response, isInvalid, 0)
	if f := response.GetFindings(); len(f) != 2 || f[0].GetLine() != 5 || f[0].GetColumn() != 39 {
		t.Errorf("findings = %v", f)
	}
}

func TestHistoryAndOlderVersions(t *testing.T) {
	s := newServer(newMemoryStore())
	for i := range uint64(3) {
		expect(t, apply(t, s, i, fmt.Sprint("r", i)), isAccepted, i+1)
	}
	history, err := s.History(t.Context(), &operatorv1.HistoryRequest{Limit: 2})
	if err != nil || len(history.Changes) != 2 || history.Changes[0].Version != 3 || history.Changes[1].Author != "author-r1" {
		t.Errorf("History = %v, %v", history, err)
	}
	first, err := s.GetConfig(t.Context(), &operatorv1.GetConfigRequest{Version: 1})
	if err != nil || string(first.Document) != document {
		t.Errorf("GetConfig(1) = %v, %v", first, err)
	}
	if _, err := s.GetConfig(t.Context(), &operatorv1.GetConfigRequest{Version: 9}); err == nil {
		t.Error("GetConfig(9) returned no error for a version that does not exist")
	}
}

// progressStream records the messages that WaitInForce sends.
type progressStream struct {
	grpc.ServerStream
	ctx  context.Context
	sent []*operatorv1.WaitInForceResponse
}

func (p *progressStream) Context() context.Context { return p.ctx }

func (p *progressStream) Send(m *operatorv1.WaitInForceResponse) error {
	p.sent = append(p.sent, m)
	return nil
}

// Guards against a response that reports a version as done before every VM has
// confirmed it, and against a call that continues after its time limit.
func TestWaitInForce(t *testing.T) {
	s := newServer(newMemoryStore())
	stream := &progressStream{ctx: t.Context()}
	if err := s.WaitInForce(&operatorv1.WaitInForceRequest{Version: 2, TimeoutMs: 60_000}, stream); err != nil {
		t.Fatal(err)
	}
	if len(stream.sent) != 2 || stream.sent[0].Missing[0] != "vm2" || stream.sent[0].Done || !stream.sent[1].Done {
		t.Errorf("sent %v", stream.sent)
	}
	stream = &progressStream{ctx: t.Context()}
	if err := s.WaitInForce(&operatorv1.WaitInForceRequest{Version: 1 << 40, TimeoutMs: 120}, stream); err != nil {
		t.Fatal(err)
	}
	if len(stream.sent) != 1 || stream.sent[0].Done {
		t.Errorf("sent %v", stream.sent)
	}
}
