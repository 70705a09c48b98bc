// Package peer implements the gRPC protocol between the VMs (proto/peer/v1): it
// runs batches on the VM that holds the connections to an upstream, exchanges
// state, and transfers rate limit tokens.
package peer

import (
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

func termToProto(t model.Term) *peerv1.Term {
	return &peerv1.Term{Counter: t.Counter, Proposer: t.Proposer}
}

func termFromProto(t *peerv1.Term) model.Term {
	return model.Term{Counter: t.GetCounter(), Proposer: t.GetProposer()}
}

func positionToProto(p model.Position) *peerv1.Position {
	if p.IsZero() {
		return nil
	}
	return &peerv1.Position{Term: termToProto(p.Term), Pos: uint64(p.Pos)}
}

func positionFromProto(p *peerv1.Position) model.Position {
	return model.Position{Term: termFromProto(p.GetTerm()), Pos: model.LogPos(p.GetPos())}
}

func helloToProto(h executor.Hello, u model.UpstreamID) *peerv1.ExecuteHello {
	return &peerv1.ExecuteHello{
		Session:   h.Session,
		Workspace: string(h.Workspace),
		Job:       string(h.Job),
		Database:  string(h.Database),
		KeyId:     string(h.KeyID),
		Upstream:  string(u),
	}
}

func helloFromProto(m *peerv1.ExecuteHello) (executor.Hello, model.UpstreamID) {
	h := executor.Hello{
		Session:   m.GetSession(),
		Workspace: model.Workspace(m.GetWorkspace()),
		Job:       model.Job(m.GetJob()),
		Database:  model.Database(m.GetDatabase()),
		KeyID:     model.KeyID(m.GetKeyId()),
	}
	return h, model.UpstreamID(m.GetUpstream())
}

// batchToProto converts the deadline to the time left until it, because the
// clocks of two VMs are not synchronized.
func batchToProto(b *executor.Batch, now time.Time) *peerv1.ExecuteBatch {
	m := &peerv1.ExecuteBatch{
		Id:          b.ID,
		Messages:    b.Messages,
		Read:        b.Class == model.Read,
		Idempotent:  b.Idempotent,
		Floor:       positionToProto(b.Floor),
		HasFloor:    b.HasFloor,
		MaxAgeMs:    b.MaxAge.Milliseconds(),
		DeadlineMs:  b.Deadline.Sub(now).Milliseconds(),
		Traceparent: b.TraceParent,
	}
	for _, p := range b.Prepared {
		m.Prepared = append(m.Prepared, &peerv1.Prepared{Name: p.Name, Parse: p.Parse})
	}
	return m
}

func batchFromProto(m *peerv1.ExecuteBatch, now time.Time) *executor.Batch {
	b := &executor.Batch{
		ID:          m.GetId(),
		Messages:    m.GetMessages(),
		Class:       model.Write,
		Idempotent:  m.GetIdempotent(),
		Floor:       positionFromProto(m.GetFloor()),
		HasFloor:    m.GetHasFloor(),
		MaxAge:      time.Duration(m.GetMaxAgeMs()) * time.Millisecond,
		Deadline:    now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		TraceParent: m.GetTraceparent(),
	}
	if m.GetRead() {
		b.Class = model.Read
	}
	for _, p := range m.GetPrepared() {
		b.Prepared = append(b.Prepared, executor.Prepared{Name: p.GetName(), Parse: p.GetParse()})
	}
	return b
}

// lastResponse returns the response that completes a batch.
func lastResponse(id uint64, r executor.Result, err error) *peerv1.ExecuteResponse {
	return &peerv1.ExecuteResponse{
		Id:          id,
		Last:        true,
		Position:    positionToProto(r.Position),
		TxStatus:    uint32(r.TxStatus),
		Error:       errorToProto(err),
		Replica:     r.Replica,
		Applied:     positionToProto(r.Applied),
		Primary:     string(r.Primary),
		PrimaryTerm: termToProto(r.PrimaryTerm),
	}
}

func resultFromProto(m *peerv1.ExecuteResponse) executor.Result {
	return executor.Result{
		Position:    positionFromProto(m.GetPosition()),
		TxStatus:    byte(m.GetTxStatus()),
		Replica:     m.GetReplica(),
		Applied:     positionFromProto(m.GetApplied()),
		Primary:     model.UpstreamID(m.GetPrimary()),
		PrimaryTerm: termFromProto(m.GetPrimaryTerm()),
	}
}

func errorToProto(err error) *peerv1.ExecuteError {
	if err == nil {
		return nil
	}
	var known *sqlstate.Error
	if !errors.As(err, &known) {
		known = sqlstate.Unknown(err.Error())
	}
	return &peerv1.ExecuteError{
		Sqlstate: string(known.Code),
		Message:  known.Message,
		NotRun:   known.NotRun,
		Fatal:    known.Fatal,
	}
}

func errorFromProto(m *peerv1.ExecuteError) error {
	if m == nil {
		return nil
	}
	return &sqlstate.Error{
		Code:    sqlstate.Code(m.GetSqlstate()),
		Message: m.GetMessage(),
		NotRun:  m.GetNotRun(),
		Fatal:   m.GetFatal(),
	}
}
