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

// Guards against a write that is acknowledged without a majority or at another
// position than the one after its commit, and against a switchover that does
// not wait for the acknowledgement.
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

// Guards against a write that is reported as successful, or run twice, when the
// connection or the majority is lost at any point of it.
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

// Guards against a second answer to one batch when the position query fails: the
// caller would take it for the answer of its next batch, and every later answer
// of the session would be off by one.
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

// Guards against reporting an unknown outcome for a write that was never sent.
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
	if !ok || sqlErr.Code != sqlstate.UpstreamUnavailable || !sqlErr.NotRun {
		t.Fatalf("error %v", err)
	}
	if len(b.decider.done) != 1 || b.decider.done[0] != 1 {
		t.Fatalf("outcomes %v", b.decider.done)
	}
}

// Guards against an unknown outcome of a write that gets a pooled connection
// which the upstream has closed.
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

// Guards against a write refused by a replica being reported to the caller
// instead of refused as not run, and against a SELECT that writes on the primary
// being acknowledged without a majority.
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

// Guards against passing on the error of a replica that rewinds its log: another
// upstream can serve the read.
func TestRewindingReplicaIsNotRun(t *testing.T) {
	b := newFixture(t, false)
	types, _, err := runQuery(t, b.stream(t), model.Read, "SELECT rewinding")
	sqlErr, ok := err.(*sqlstate.Error)
	if !ok || sqlErr.Code != sqlstate.UpstreamUnavailable || !sqlErr.NotRun || types != "" {
		t.Fatalf("answer %q, error %v", types, err)
	}
}

// Guards against a read that does not return its assignment's floor as its
// position.
func TestReadReturnsFloor(t *testing.T) {
	b := newFixture(t, false)
	b.decider.floor = model.Position{Term: model.Term{Counter: 7}, Pos: 5}
	types, result, err := runQuery(t, b.stream(t), model.Read, "SELECT 1")
	if err != nil || types != "TDCZ" || result.Position != b.decider.floor || !result.Replica {
		t.Fatalf("answer %q, result %+v, error %v", types, result, err)
	}
}

// Guards against a transaction whose statements run on different connections,
// and against a slot that is not freed after it.
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

// Guards against a caller that can execute another caller's prepared statement
// on a shared connection.
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
// later batch or is parsed again where it exists, and against more prepared
// statements per connection than the limit.
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
	// A connection has at most four prepared statements: round 0 fills it, and
	// rounds 1 and 2 evict.
	if n := b.upstream.count(&b.upstream.parses); n <= 4 || n >= 14 {
		t.Fatalf("%d parses", n)
	}
}

// Guards against missing, extra or misplaced replies when the proxy adds, drops
// or rewrites Parse and Close messages of a pipelined batch.
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

// Guards against a late answer or cancellation that affects the next batch on
// the connection.
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

// Guards against an interrupted batch whose connection stays open, and against
// an interrupted write that is not reported as outcome unknown.
func TestInterruptedBatchClosesConnection(t *testing.T) {
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

// Guards against a batch that runs although its key was withdrawn before or
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

// Guards against COPY FROM STDIN that waits forever for data.
func TestCopyInIsRefused(t *testing.T) {
	b := newFixture(t, true)
	_, _, err := runQuery(t, b.stream(t), model.Write, "COPY t FROM STDIN")
	if codeOf(err) != sqlstate.NotSupported || b.decider.slots() != 0 {
		t.Fatalf("error %v", err)
	}
}

// Guards against a SELECT that writes being acknowledged without a majority if
// the upstream does not support read-only transactions.
func TestReadOnPrimaryWithoutReadOnly(t *testing.T) {
	b := newFixture(t, true)
	b.upstream.noSettings = true
	types, result, err := runQuery(t, b.stream(t), model.Read, "SELECT insert()")
	if err != nil || types != "CZ" || len(b.decider.awaited) != 1 || result.Position.Pos != 1 {
		t.Fatalf("answer %q, result %+v, error %v, awaited %v", types, result, err, b.decider.awaited)
	}
}

// Guards against a connection that stays read-only after a read, so that a later
// write fails.
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

// Guards against a deadlock of a large batch: the proxy writes while the upstream
// waits for its answer to be read.
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

// Guards against an idle transaction that never frees its slot, and against later
// statements of the transaction that run on their own after the rollback.
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

// Guards against a prepared statement that is missing on a connection other than
// the one on which it was first parsed, or is parsed twice on one of them.
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
