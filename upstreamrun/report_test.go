package upstreamrun

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// recorder is a Cluster that keeps what is reported.
type recorder struct {
	events   []replicaset.Event
	suspects int
	// confirmed is the answer of ConfirmPrimary.
	confirmed bool
}

func (r *recorder) Now() model.Time                           { return 1 }
func (r *recorder) Observe(ev *replicaset.Event)              { r.events = append(r.events, *ev) }
func (r *recorder) ConfirmPrimary(*Place, model.Time) bool    { return r.confirmed }
func (r *recorder) ConfirmCommits(*Place, model.Time) bool    { return r.confirmed }
func (r *recorder) ConfirmCommit(*Place, model.Position) bool { return true }
func (r *recorder) Suspect(model.UpstreamID)                  { r.suspects++ }
func (r *recorder) Pool(model.UpstreamID) *upstreampool.Pool  { return nil }
func (r *recorder) Floor(catalog.Service, time.Duration, model.Position) (model.Position, time.Duration, bool) {
	return model.Position{}, 0, false
}

func answer(code lineproto.Code, state lineproto.TxState) *upstreampool.Answer {
	a := &upstreampool.Answer{Code: code}
	a.Ready.State = state
	a.Ready.Position = model.Position{Pos: 7}
	return a
}

// Guards against answers that count as evidence of a commit, or of the loss of
// the role of primary, without being it.
func TestReportAnswer(t *testing.T) {
	floor := model.Position{Pos: 5}
	for _, tt := range []struct {
		name      string
		committed bool
		code      lineproto.Code
		want      []replicaset.EventKind
	}{
		{"read", false, "", []replicaset.EventKind{replicaset.EventServed}},
		{"write", true, "", []replicaset.EventKind{replicaset.EventCommitted}},
		{"write refused by a replica", true, lineproto.ReadOnly, []replicaset.EventKind{replicaset.EventNotPrimary}},
		{"replica behind", false, lineproto.Lagging, []replicaset.EventKind{replicaset.EventLagging}},
		{"full", true, lineproto.Busy, nil},
		{"failed", true, lineproto.Failed, nil},
	} {
		r := &recorder{}
		ReportAnswer(r, &SentStatement{Upstream: "i-1", SentAt: 3, Floor: floor, Committed: tt.committed}, answer(tt.code, lineproto.Idle))
		var got []replicaset.EventKind
		for _, ev := range r.events {
			got = append(got, ev.Kind)
			if ev.SentAt != 3 || ev.Kind == replicaset.EventLagging && ev.Position != floor {
				t.Errorf("%s: %+v", tt.name, ev)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%s: events %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against the end of a transaction without writes that counts as a
// commit, and against a replica that counts as a former primary because it
// refused a write of a read-only transaction.
func TestReportAnswerInTransactions(t *testing.T) {
	read, write := &TxRequest{}, &TxRequest{Statement: Statement{Write: true}}
	commit := &TxRequest{}
	r := &recorder{}
	reading := TxProgress{Upstream: "i-1", ReadOnly: true}
	reading.ReportAnswer(r, 1, read, answer("", lineproto.InTx))
	reading.ReportAnswer(r, 1, write, answer(lineproto.ReadOnly, lineproto.TxFailed))
	reading.ReportAnswer(r, 1, commit, answer("", lineproto.Idle))
	writing := TxProgress{Upstream: "i-1"}
	writing.ReportAnswer(r, 1, write, answer("", lineproto.InTx))
	writing.ReportAnswer(r, 1, commit, answer("", lineproto.Idle))
	var got []replicaset.EventKind
	for _, ev := range r.events {
		got = append(got, ev.Kind)
	}
	want := []replicaset.EventKind{
		replicaset.EventServed, replicaset.EventServed, replicaset.EventServed, replicaset.EventCommitted,
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// Guards against an upstream that counts as unreachable because an established
// connection failed, or because no connection was free.
func TestReportFailure(t *testing.T) {
	broken := func(dialing bool, err error) error {
		return &upstreampool.BrokenError{Upstream: "i-1", Dialing: dialing, Err: err}
	}
	for _, tt := range []struct {
		name     string
		err      error
		kind     replicaset.EventKind
		events   int
		refused  bool
		suspects int
	}{
		{"no connection", broken(true, errors.New("time limit")), replicaset.EventFailed, 1, false, 1},
		{"nothing listens", broken(true, syscall.ECONNREFUSED), replicaset.EventFailed, 1, true, 1},
		{"reset", broken(false, syscall.ECONNRESET), 0, 0, false, 1},
		{"waited", upstreampool.ErrAcquireTimeout, 0, 0, false, 0},
		{"limit", &upstreampool.RefusedError{Upstream: "i-1", Code: lineproto.TooMany}, 0, 0, false, 0},
		{"another upstream at the address", &upstreampool.RefusedError{Upstream: "i-1", Code: lineproto.Misrouted, Text: "i-2"}, replicaset.EventReplaced, 1, false, 0},
	} {
		r := &recorder{}
		ReportFailure(r, "i-1", tt.err)
		if len(r.events) != tt.events || r.suspects != tt.suspects {
			t.Errorf("%s: events %v, %d suspicions", tt.name, r.events, r.suspects)
			continue
		}
		if tt.events > 0 && (r.events[0].Kind != tt.kind || r.events[0].Refused != tt.refused) {
			t.Errorf("%s: %+v", tt.name, r.events[0])
		}
	}
}

// Guards against writes, strict reads and transactions that are sent to a primary
// which is not confirmed: another upstream may have been promoted. Reads with a floor
// need no primary.
func TestUnconfirmedPrimaryGetsNothing(t *testing.T) {
	run := func(mode Mode, write bool) func(*Local) error {
		return func(l *Local) error {
			_, err := l.Run(&Request{Mode: mode, Statement: Statement{Write: write}})
			return err
		}
	}
	open := func(readOnly bool) func(*Local) error {
		return func(l *Local) error {
			_, _, err := l.Open(&OpenRequest{ReadOnly: readOnly})
			return err
		}
	}
	for name, tt := range map[string]struct {
		send         func(*Local) error
		needsPrimary bool
	}{
		"write":                 {run(ModePlain, true), true},
		"strict read":           {run(ModePrimary, false), true},
		"read with a floor":     {run(ModeFresh, false), false},
		"transaction":           {open(false), true},
		"read-only transaction": {open(true), false},
	} {
		for _, confirmed := range []bool{true, false} {
			err := tt.send(&Local{Cluster: &recorder{confirmed: confirmed}})
			// The recorder has no pools, so a statement that is sent fails there.
			want := upstreampool.ErrClosed
			if tt.needsPrimary && !confirmed {
				want = ErrUnconfirmed
			}
			if !errors.Is(err, want) {
				t.Errorf("%s, primary confirmed %t: %v, want %v", name, confirmed, err, want)
			}
		}
	}
}
