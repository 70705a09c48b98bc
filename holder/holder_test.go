package holder_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

func messageTypes(t *testing.T, answer []byte) string {
	t.Helper()
	types := ""
	for len(answer) > 0 {
		frame, rest, err := wire.Split(answer)
		if err != nil {
			t.Fatal(err)
		}
		types += string(frame.Type())
		answer = rest
	}
	return types
}

func encode(t *testing.T, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// Guards against a write that is acknowledged at another position than the one
// after its commit, or without asking for the majority, and against a planned
// switchover that does not wait for the acknowledgement.
func TestWriteWaitsForMajority(t *testing.T) {
	b := newFixture(t, true)
	types, result, err := runQuery(t, b.stream(t), model.Write, "INSERT 1")
	if err != nil || types != "CZ" {
		t.Fatalf("answer %q, error %v", types, err)
	}
	want := model.Position{Term: model.Term{Counter: 7, Proposer: "vm-a1"}, Pos: 1}
	if result.Position != want || len(b.decider.awaited) != 1 || b.decider.awaited[0] != want {
		t.Fatalf("position %v, awaited %v", result.Position, b.decider.awaited)
	}
	if b.decider.ended != 1 || b.decider.endedEarly != 0 {
		t.Fatalf("%d writes ended, %d before their majority was awaited", b.decider.ended, b.decider.endedEarly)
	}
	if result.Applied.Pos != 99 || result.Primary != "primary" || b.decider.slots() != 0 {
		t.Fatalf("hint %+v, slots held %d", result, b.decider.slots())
	}
}

// Guards against success being told when the connection or the majority is
// lost at any point of a write, and against the write running twice.
func TestWriteInterrupted(t *testing.T) {
	cases := []struct {
		name, point, sql string
		writes           int
	}{
		{"after the upstream received it", "received", "INSERT 1", 0},
		{"after the commit", "executed", "INSERT 1", 1},
		{"after the answer", "answered", "INSERT 1", 1},
		{"at the position query", "received", "SELECT chervilhatch_position()", 1},
		{"no majority", "", "", 1},
		{"new term", "new term", "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, true)
			b.upstream.drop = func(point, sql string) bool { return point == c.point && sql == c.sql }
			if c.point == "" {
				b.decider.majority = sqlstate.Unknown("no majority")
			}
			b.decider.staleTerm = c.point == "new term"
			types, _, err := runQuery(t, b.stream(t), model.Write, "INSERT 1")
			sqlErr, ok := err.(*sqlstate.Error)
			if !ok || sqlErr.Code != sqlstate.OutcomeUnknown || sqlErr.NotRun || types != "" {
				t.Fatalf("answer %q, error %v", types, err)
			}
			if n := b.upstream.count(&b.upstream.writes); n != c.writes || b.decider.slots() != 0 {
				t.Fatalf("%d writes, %d slots held", n, b.decider.slots())
			}
		})
	}
}

// Guards against a second answer after a complete one: it would be taken for
// the answer of the caller's next batch, and so on for the rest of the session.
func TestOneAnswerWhenPositionIsLost(t *testing.T) {
	b := newFixture(t, true)
	b.upstream.drop = func(point, sql string) bool {
		return point == "received" && sql == "SELECT chervilhatch_position()"
	}
	types, _, err := runQuery(t, b.stream(t), model.Write, "INSERT duplicate")
	if err != nil || types != "EZ" {
		t.Fatalf("answer %q, error %v", types, err)
	}
	if b.decider.slots() != 0 {
		t.Fatalf("%d slots held", b.decider.slots())
	}
}

// Guards against an unknown outcome for a write that was never sent.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	b := &fixture{decider: &decider{primary: true}}
	b.open(t, address)
	_, _, err = runQuery(t, b.stream(t), model.Write, "INSERT 1")
	sqlErr, ok := err.(*sqlstate.Error)
	if !ok || sqlErr.Code != sqlstate.UpstreamUnavail || !sqlErr.NotRun {
		t.Fatalf("error %v", err)
	}
	if len(b.decider.done) != 1 || b.decider.done[0] != 1 {
		t.Fatalf("outcomes %v", b.decider.done)
	}
}

// Guards against a stale pooled connection turning a write into an unknown outcome.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	b := newFixture(t, true)
	s := b.stream(t)
	b.upstream.drop = func(point, sql string) bool {
		return point == "answered" && sql == "SELECT chervilhatch_position()"
	}
	for range 3 {
		if _, _, err := runQuery(t, s, model.Write, "INSERT 1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a write on a replica reaching the caller as an error, and
// against a SELECT that writes being acknowledged without a majority.
func TestReadOnlyIsNotRun(t *testing.T) {
	for _, primary := range []bool{false, true} {
		b := newFixture(t, primary)
		types, _, err := runQuery(t, b.stream(t), model.Read, "SELECT insert()")
		sqlErr, ok := err.(*sqlstate.Error)
		if !ok || sqlErr.Code != sqlstate.ReadOnly || !sqlErr.NotRun || types != "" {
			t.Fatalf("primary %v: answer %q, error %v", primary, types, err)
		}
		if n := b.upstream.count(&b.upstream.writes); n != 0 {
			t.Fatalf("primary %v: %d writes", primary, n)
		}
	}
}

// Guards against a caller that gets the error of a replica which rewinds its
// log, although another upstream can serve the read.
func TestRewindingReplicaIsNotRun(t *testing.T) {
	b := newFixture(t, false)
	types, _, err := runQuery(t, b.stream(t), model.Read, "SELECT rewinding")
	sqlErr, ok := err.(*sqlstate.Error)
	if !ok || sqlErr.Code != sqlstate.UpstreamUnavail || !sqlErr.NotRun || types != "" {
		t.Fatalf("answer %q, error %v", types, err)
	}
}

// Guards against a read that loses the position of its assignment.
func TestReadReturnsFloor(t *testing.T) {
	b := newFixture(t, false)
	b.decider.floor = model.Position{Term: model.Term{Counter: 7}, Pos: 5}
	types, result, err := runQuery(t, b.stream(t), model.Read, "SELECT 1")
	if err != nil || types != "TDCZ" || result.Position != b.decider.floor || !result.Replica {
		t.Fatalf("answer %q, result %+v, error %v", types, result, err)
	}
}

// Guards against a transaction that changes its connection, and against slots
// that stay taken after it.
func TestTransactionKeepsConnection(t *testing.T) {
	b := newFixture(t, true)
	s := b.stream(t)
	for _, sql := range []string{"BEGIN", "INSERT 1"} {
		_, result, err := runQuery(t, s, model.Write, sql)
		if err != nil || result.TxStatus != 'T' || b.decider.slots() != 1 {
			t.Fatalf("%s: result %+v, error %v", sql, result, err)
		}
	}
	if len(b.decider.awaited) != 0 {
		t.Fatal("majority awaited inside the transaction")
	}
	_, result, err := runQuery(t, s, model.Write, "COMMIT")
	if err != nil || result.TxStatus != 'I' || result.Position.Pos != 1 || b.decider.slots() != 0 {
		t.Fatalf("result %+v, error %v", result, err)
	}
	if len(b.decider.awaited) != 1 || b.upstream.count(&b.upstream.conns) != 1 {
		t.Fatalf("awaited %v, connections %d", b.decider.awaited, b.upstream.conns)
	}
}

// Guards against a caller using an unnamed or named statement of another one.
func TestPreparedStatementsAreIsolated(t *testing.T) {
	b := newFixture(t, false)
	first := encode(t, &pgproto3.Parse{Query: "SELECT secret"}, &pgproto3.Sync{})
	if types, _, err := runMessages(t, b.stream(t), &executor.Batch{Class: model.Read, Messages: first}); err != nil || types != "1Z" {
		t.Fatalf("answer %q, error %v", types, err)
	}
	second := encode(t, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	types, _, err := runMessages(t, b.stream(t), &executor.Batch{Class: model.Read, Messages: second})
	if err != nil || types != "EZ" {
		t.Fatalf("answer %q, error %v", types, err)
	}
}

// Guards against a prepared statement that is missing on the connection of a
// later batch, is parsed again where it exists, or grows beyond the bound.
func TestPreparedStatementsAcrossConnections(t *testing.T) {
	b := newFixture(t, false)
	busy := b.stream(t)
	if _, _, err := runQuery(t, busy, model.Read, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	s := b.stream(t)
	texts := []string{"SELECT 1", "SELECT 2", "SELECT 3", "SELECT 4", "SELECT 5", "SELECT 6"}
	for round := range 3 {
		for _, sql := range texts[:2+2*(round%2+1)] {
			parse := encode(t, &pgproto3.Parse{Name: "mine", Query: sql})
			run := encode(t, &pgproto3.Bind{PreparedStatement: "mine"}, &pgproto3.Execute{}, &pgproto3.Sync{})
			prepared := []executor.Prepared{{Name: "mine", Parse: parse}}
			types, _, err := runMessages(t, s, &executor.Batch{Class: model.Read, Messages: run, Prepared: prepared})
			if err != nil || types != "2DCZ" {
				t.Fatalf("%s: answer %q, error %v", sql, types, err)
			}
		}
	}
	// Four statements stay prepared in round 0; rounds 1 and 2 evict.
	if n := b.upstream.count(&b.upstream.parses); n <= 4 || n >= 14 {
		t.Fatalf("%d parses", n)
	}
}

// Guards against answers that are out of place when the proxy parses,
// replaces or closes statements in a pipelined batch.
func TestPipelinedBatch(t *testing.T) {
	b := newFixture(t, false)
	s := b.stream(t)
	batch := encode(t,
		&pgproto3.Parse{Name: "a", Query: "SELECT 1"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{},
		&pgproto3.Close{ObjectType: 'S', Name: "a"},
		&pgproto3.Parse{Name: "a", Query: "SELECT 1"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{},
		&pgproto3.Sync{})
	for range 2 {
		types, _, err := runMessages(t, s, &executor.Batch{Class: model.Read, Messages: batch})
		if err != nil || types != "12DC312DCZ" {
			t.Fatalf("answer %q, error %v", types, err)
		}
	}
	if n := b.upstream.count(&b.upstream.parses); n != 1 {
		t.Fatalf("%d parses", n)
	}
}

// Guards against a late answer or cancellation reaching the next caller.
func TestCanceledConnectionIsNotReused(t *testing.T) {
	b := newFixture(t, false)
	s := b.stream(t)
	go func() {
		<-b.upstream.hanging
		s.Cancel()
	}()
	types, _, err := runQuery(t, s, model.Read, "SELECT hang")
	if err != nil || types != "EZ" {
		t.Fatalf("answer %q, error %v", types, err)
	}
	if types, _, err := runQuery(t, s, model.Read, "SELECT 1"); err != nil || types != "TDCZ" {
		t.Fatalf("answer %q, error %v", types, err)
	}
	if n := b.upstream.count(&b.upstream.conns); n != 2 {
		t.Fatalf("%d connections", n)
	}
}

// Guards against a deadline that leaves the statement's connection in use, or
// that gives a write a certain outcome.
func TestDeadline(t *testing.T) {
	for class, code := range map[model.Class]sqlstate.Code{model.Read: sqlstate.QueryCanceled, model.Write: sqlstate.OutcomeUnknown} {
		b := newFixture(t, class == model.Write)
		batch := &executor.Batch{Class: class, Messages: encode(t, &pgproto3.Query{String: "SELECT hang"})}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-b.upstream.hanging
			cancel()
		}()
		_, err := b.stream(t).Run(ctx, batch, func([]byte) error { return nil })
		if codeOf(err) != code || b.decider.slots() != 0 || b.pool.Stats().Open != 0 {
			t.Fatalf("%s: error %v, slots %d, pool %+v", class, err, b.decider.slots(), b.pool.Stats())
		}
	}
}

// Guards against a key that still works after it was withdrawn, before or
// during the wait for a slot.
func TestWithdrawnKeyIsNotRun(t *testing.T) {
	withdrawn := sqlstate.Refuse(sqlstate.KeyWithdrawn, "key withdrawn")
	for _, before := range []bool{true, false} {
		b := newFixture(t, true)
		b.decider.queueKeyErr = withdrawn
		if before {
			b.decider.keyErr = withdrawn
		}
		_, _, err := runQuery(t, b.stream(t), model.Write, "INSERT 1")
		if codeOf(err) != sqlstate.KeyWithdrawn || b.upstream.count(&b.upstream.writes) != 0 || b.decider.slots() != 0 {
			t.Fatalf("error %v, %d slots held", err, b.decider.slots())
		}
	}
}

// Guards against COPY FROM STDIN waiting for data that never comes.
func TestCopyInIsRefused(t *testing.T) {
	b := newFixture(t, true)
	_, _, err := runQuery(t, b.stream(t), model.Write, "COPY t FROM STDIN")
	if codeOf(err) != sqlstate.NotSupported || b.decider.slots() != 0 {
		t.Fatalf("error %v", err)
	}
}

// Guards against a SELECT that writes being acknowledged without a majority
// where the upstream cannot make transactions read-only.
func TestReadOnPrimaryWithoutReadOnly(t *testing.T) {
	b := newFixture(t, true)
	b.upstream.noSettings = true
	types, result, err := runQuery(t, b.stream(t), model.Read, "SELECT insert()")
	if err != nil || types != "CZ" || len(b.decider.awaited) != 1 || result.Position.Pos != 1 {
		t.Fatalf("answer %q, result %+v, error %v, awaited %v", types, result, err, b.decider.awaited)
	}
}

// Guards against a connection that stays read-only for a later write.
func TestReadsAndWritesAlternateOnPrimary(t *testing.T) {
	b := newFixture(t, true)
	s := b.stream(t)
	for range 2 {
		if types, _, err := runQuery(t, s, model.Read, "SELECT 1"); err != nil || types != "TDCZ" {
			t.Fatalf("answer %q, error %v", types, err)
		}
		if types, _, err := runQuery(t, s, model.Write, "INSERT 1"); err != nil || types != "CZ" {
			t.Fatalf("answer %q, error %v", types, err)
		}
	}
	if n := b.upstream.count(&b.upstream.conns); n != 1 || len(b.decider.awaited) != 2 {
		t.Fatalf("%d connections, awaited %v", n, b.decider.awaited)
	}
}

// Guards against a large batch that blocks because the upstream waits for its
// answer to be read.
func TestLargeBatch(t *testing.T) {
	const parts = 400
	b := newFixture(t, false)
	var messages []byte
	for range parts {
		value := bytes.Repeat([]byte{'x'}, 8<<10)
		messages = append(messages, encode(t, &pgproto3.Parse{Query: "SELECT " + string(value)},
			&pgproto3.Bind{Parameters: [][]byte{value}}, &pgproto3.Execute{})...)
	}
	messages = append(messages, encode(t, &pgproto3.Sync{})...)
	types, _, err := runMessages(t, b.stream(t), &executor.Batch{Class: model.Read, Messages: messages})
	if err != nil || len(types) != 4*parts+1 || b.pool.Stats().Idle != 1 {
		t.Fatalf("%d messages, error %v, pool %+v", len(types), err, b.pool.Stats())
	}
}

// Guards against an idle transaction that keeps its slot for ever, and against
// statements that run outside the transaction after it.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	b := &fixture{upstream: startUpstream(t), decider: &decider{primary: true}, idleInTx: time.Millisecond}
	b.open(t, b.upstream.address)
	s := b.stream(t)
	if _, _, err := runQuery(t, s, model.Write, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	for b.decider.slots() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, result, err := runQuery(t, s, model.Write, "INSERT 1")
	if codeOf(err) != sqlstate.IdleInTransaction || result.TxStatus != 'E' || b.upstream.count(&b.upstream.writes) != 0 {
		t.Fatalf("result %+v, error %v", result, err)
	}
}

// Guards against a statement that is missing on a connection other than the
// one that first prepared it.
func TestPreparedStatementOnAnotherConnection(t *testing.T) {
	b := newFixture(t, false)
	s, other := b.stream(t), b.stream(t)
	parse := encode(t, &pgproto3.Parse{Name: "mine", Query: "SELECT 1"})
	run := encode(t, &pgproto3.Bind{PreparedStatement: "mine"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	for parses := 1; parses <= 2; parses++ {
		for range 2 {
			batch := &executor.Batch{Class: model.Read, Messages: run, Prepared: []executor.Prepared{{Name: "mine", Parse: parse}}}
			if types, _, err := runMessages(t, s, batch); err != nil || types != "2DCZ" {
				t.Fatalf("answer %q, error %v", types, err)
			}
			if n := b.upstream.count(&b.upstream.parses); n != parses {
				t.Fatalf("%d parses, want %d", n, parses)
			}
		}
		if _, _, err := runQuery(t, other, model.Read, "BEGIN"); err != nil {
			t.Fatal(err)
		}
	}
}
