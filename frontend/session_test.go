package frontend

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// rawConn is a connection after login on which a test sends and receives single
// protocol messages.
type rawConn struct {
	*pgproto3.Frontend
	t    testing.TB
	conn net.Conn
}

func openRawConn(t testing.TB, address string) *rawConn {
	t.Helper()
	conn := dial(t, address)
	if _, err := conn.Write(startupBytes(3<<16, "user", "w", "database", "open")); err != nil {
		t.Fatal(err)
	}
	r := &rawConn{Frontend: pgproto3.NewFrontend(conn, conn), t: t, conn: conn}
	r.readUntil('Z')
	return r
}

// readUntil reads messages up to one of the given type. It returns the types of
// all messages except ParameterStatus, with the transaction status after each
// ReadyForQuery, and the code of the last error.
func (r *rawConn) readUntil(kind byte) (types string, code sqlstate.Code) {
	r.t.Helper()
	for {
		message, err := r.Receive()
		if err != nil {
			r.t.Fatalf("after %q: %v", types, err)
		}
		encoded, _ := message.Encode(nil)
		if encoded[0] == wire.ParameterStatus {
			continue
		}
		types += string(encoded[0])
		if e, ok := message.(*pgproto3.ErrorResponse); ok {
			code = sqlstate.Code(e.Code)
		}
		if z, ok := message.(*pgproto3.ReadyForQuery); ok {
			types += string(z.TxStatus)
		}
		if encoded[0] == kind {
			return types, code
		}
	}
}

// roundTrip sends messages and reads up to ReadyForQuery.
func (r *rawConn) roundTrip(messages ...pgproto3.FrontendMessage) (types string, code sqlstate.Code) {
	r.t.Helper()
	r.write(messages...)
	return r.readUntil('Z')
}

func (r *rawConn) write(messages ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range messages {
		r.Send(m)
	}
	if err := r.Flush(); err != nil {
		r.t.Fatal(err)
	}
}

func parse(name, sql string) *pgproto3.Parse     { return &pgproto3.Parse{Name: name, Query: sql} }
func bind(name string) *pgproto3.Bind            { return &pgproto3.Bind{PreparedStatement: name} }
func closeStatement(name string) *pgproto3.Close { return &pgproto3.Close{ObjectType: 'S', Name: name} }
func describe(name string) *pgproto3.Describe {
	return &pgproto3.Describe{ObjectType: 'S', Name: name}
}

var (
	execute = &pgproto3.Execute{}
	syncNow = &pgproto3.Sync{}
	flush   = &pgproto3.Flush{}
)

// Guards against prepared statements that are lost between batches, that still
// exist after a failed Parse or a Close, or that can be used without a Parse.
func TestPreparedStatements(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, func(o *Options) { o.Limits.PreparedStatements = 2 })
	r := openRawConn(t, address)
	steps := []struct {
		messages []pgproto3.FrontendMessage
		want     string
		code     sqlstate.Code
		prepared int
	}{
		{[]pgproto3.FrontendMessage{parse("a", "SELECT 1"), describe("a"), syncNow}, "1tnZI", "", 0},
		{[]pgproto3.FrontendMessage{bind("a"), execute, bind("a"), execute, syncNow}, "2C2CZI", "", 1},
		{[]pgproto3.FrontendMessage{parse("a", "SELECT 2"), syncNow}, "EZI", sqlstate.DuplicateStatement, 0},
		{[]pgproto3.FrontendMessage{parse("b", "WRONG"), syncNow}, "EZI", "42601", 0},
		{[]pgproto3.FrontendMessage{parse("b", "SELECT 2"), bind("b"), execute, syncNow}, "12CZI", "", 0},
		{[]pgproto3.FrontendMessage{parse("c", "SELECT 3"), syncNow}, "EZI", sqlstate.TooLarge, 0},
		{[]pgproto3.FrontendMessage{closeStatement("a"), syncNow}, "3ZI", "", 0},
		{[]pgproto3.FrontendMessage{bind("a"), execute, bind("b"), syncNow}, "EZI", sqlstate.UnknownStatement, 0},
		{[]pgproto3.FrontendMessage{parse("", "SELECT 4"), syncNow}, "1ZI", "", 0},
		{[]pgproto3.FrontendMessage{bind(""), execute, syncNow}, "2CZI", "", 1},
		{[]pgproto3.FrontendMessage{&pgproto3.Query{String: "DISCARD ALL"}}, "CZI", "", 0},
		{[]pgproto3.FrontendMessage{describe("b"), syncNow}, "EZI", sqlstate.UnknownStatement, 0},
		{[]pgproto3.FrontendMessage{syncNow}, "ZI", "", 0},
	}
	for i, step := range steps {
		types, code := r.roundTrip(step.messages...)
		if types != step.want || code != step.code {
			t.Fatalf("step %d: %q %q, want %q %q", i, types, code, step.want, step.code)
		}
		if n := len(f.lastBatch().Prepared); step.prepared > 0 && n != step.prepared {
			t.Fatalf("step %d: %d prepared statements sent along", i, n)
		}
	}
}

// Guards against a Flush that commits early, and against responses that are
// held back until Sync although a Flush may be answered.
func TestFlush(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, nil)
	r := openRawConn(t, address)
	r.write(parse("a", "SELECT 1"), describe("a"), flush)
	if types, _ := r.readUntil('n'); types != "1tn" {
		t.Fatal(types)
	}
	if types, code := r.roundTrip(bind("a"), execute, syncNow); types != "2CZI" || code != "" {
		t.Fatal(types, code)
	}
	if types, code := r.roundTrip(bind("a"), flush, execute, syncNow); types != "EZI" || code != sqlstate.NotSupported {
		t.Fatal(types, code)
	}
	r.roundTrip(&pgproto3.Query{String: "BEGIN"})
	r.write(bind("a"), execute, flush)
	if types, _ := r.readUntil('C'); types != "2C" {
		t.Fatal(types)
	}
	if types, _ := r.roundTrip(syncNow); types != "ZT" {
		t.Fatal(types)
	}
	r.write(parse("b", "WRONG"), flush)
	if types, code := r.roundTrip(bind("b"), execute, syncNow); types != "EZT" || code != "42601" {
		t.Fatal(types, code)
	}
}

// Guards against statements that run outside the transaction in which the
// caller sent them, after that transaction was aborted.
func TestLostTransaction(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, nil)
	r := openRawConn(t, address)
	query := func(sql, types string, code sqlstate.Code) {
		t.Helper()
		if gotTypes, gotCode := r.roundTrip(&pgproto3.Query{String: sql}); gotTypes != types || gotCode != code {
			t.Fatalf("%s: %q %q, want %q %q", sql, gotTypes, gotCode, types, code)
		}
	}
	for range 2 {
		query("BEGIN", "CZT", "")
		query("UPDATE lost", "EZE", sqlstate.OutcomeUnknown)
		before := f.batchCount()
		query("UPDATE a", "EZE", sqlstate.FailedTransaction)
		query("ROLLBACK TO s", "EZE", sqlstate.FailedTransaction)
		query("COMMIT", "CZI", "")
		if f.batchCount() != before {
			t.Fatal("a statement of the aborted transaction was run")
		}
		query("UPDATE a", "CZI", "")
	}
	query("BEGIN", "CZT", "")
	f.update(func() { f.admitErr = sqlstate.Refuse(sqlstate.RateExceeded, "rate") })
	query("UPDATE a", "EZE", sqlstate.RateExceeded)
	query("ROLLBACK", "CZI", "")
	query("UPDATE a", "EZI", sqlstate.RateExceeded)
}

// Guards against a class that changes within a transaction, and against a class
// policy that is not followed.
func TestClassOfBatches(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, nil)
	conn := mustConnect(t, address, "")
	steps := []struct {
		policy ClassPolicy
		sql    string
		want   model.Class
	}{
		{ByStatement, "SELECT 1", model.Read},
		{ByStatement, "SELECT 1; UPDATE a", model.Write},
		{ByStatement, "BEGIN", model.Write},
		{ByStatement, "SELECT 1", model.Write},
		{ByStatement, "COMMIT", model.Write},
		{ByStatement, "BEGIN READ ONLY", model.Read},
		{ByStatement, "UPDATE a", model.Read},
		{ByStatement, "COMMIT", model.Read},
		{AlwaysWrite, "SELECT 1", model.Write},
		{AlwaysRead, "CALL a()", model.Read},
		{AlwaysRead, "BEGIN READ WRITE", model.Write},
		{AlwaysRead, "COMMIT", model.Write},
	}
	for _, step := range steps {
		f.update(func() { f.classPolicy = step.policy })
		if code := execSQL(t, conn, step.sql); code != "" {
			t.Fatal(step.sql, code)
		}
		if got := f.lastBatch().Class; got != step.want {
			t.Errorf("%s: %s", step.sql, got)
		}
	}
}

// Guards against a withdrawn key that still works in a session for which
// CloseKey was not called.
func TestKeyIsCheckedBeforeEachBatch(t *testing.T) {
	f := newFakeBackend()
	f.keys = []Key{newTestKey(t, "k1", "first", "a")}
	s, address := startServer(t, f, nil)
	conn, err := connect(t, address, "w", "j", "first", "")
	if err != nil {
		t.Fatal(err)
	}
	other := mustConnect(t, address, "")
	f.update(func() { f.keys = nil })
	if code := execSQL(t, conn, "SELECT 1"); code != sqlstate.KeyWithdrawn || !conn.IsClosed() {
		t.Fatal(code)
	}
	s.CloseKey("w", "")
	s.CloseKey("w", "k1")
	if code := execSQL(t, other, "SELECT 1"); code != "" {
		t.Fatal("a session of an open job was closed: " + code)
	}
}

// Guards against an idle session that stays open after its key was withdrawn.
func TestCloseKeyClosesIdleSession(t *testing.T) {
	f := newFakeBackend()
	f.keys = []Key{newTestKey(t, "k1", "first", "a")}
	s, address := startServer(t, f, nil)
	if _, err := connect(t, address, "w", "j", "first", ""); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the session", func() bool { return s.Sessions() == 1 })
	s.CloseKey("w", "k1")
	waitFor(t, "the session's end", func() bool { return s.Sessions() == 0 })
}

// Guards against a shutdown that interrupts a statement or a transaction, that
// leaves idle sessions open, or that never ends because a caller sends without
// pauses.
func TestShutdown(t *testing.T) {
	f := newFakeBackend()
	s, address := startServer(t, f, nil)
	idle, inTx, busy := openRawConn(t, address), openRawConn(t, address), openRawConn(t, address)
	inTx.roundTrip(&pgproto3.Query{String: "BEGIN"})
	busy.write(&pgproto3.Query{String: "SELECT hang"})
	<-f.hangStarted
	loop := mustConnect(t, address, "")
	looped := make(chan sqlstate.Code)
	go func() {
		for {
			if code := execSQL(t, loop, "SELECT 1"); code != "" {
				looped <- code
				return
			}
		}
	}()
	done := make(chan error)
	go func() { done <- s.Shutdown(context.Background()) }()
	if code := <-looped; code != sqlstate.AdminShutdown {
		t.Fatal(code)
	}
	if _, code := idle.readUntil('E'); code != sqlstate.AdminShutdown {
		t.Fatal(code)
	}
	if types, _ := inTx.roundTrip(&pgproto3.Query{String: "UPDATE a"}); types != "CZT" {
		t.Fatal(types)
	}
	if types, _ := inTx.roundTrip(&pgproto3.Query{String: "COMMIT"}); types != "CZI" {
		t.Fatal(types)
	}
	if _, code := inTx.readUntil('E'); code != sqlstate.AdminShutdown {
		t.Fatal(code)
	}
	f.hangResume <- struct{}{}
	if types, _ := busy.readUntil('Z'); types != "CZI" {
		t.Fatal(types)
	}
	if _, code := busy.readUntil('E'); code != sqlstate.AdminShutdown {
		t.Fatal(code)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a shutdown that waits for a statement beyond its deadline, and
// against a write that it interrupts being reported as not run.
func TestShutdownDeadline(t *testing.T) {
	f := newFakeBackend()
	s, address := startServer(t, f, nil)
	busy := openRawConn(t, address)
	busy.write(&pgproto3.Query{String: "UPDATE hang"})
	<-f.hangStarted
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Shutdown(ctx); err == nil {
		t.Fatal("no error")
	}
	if _, code := busy.readUntil('E'); code != sqlstate.OutcomeUnknown {
		t.Fatal(code)
	}
}

// Guards against unsupported messages after which the proxy and the caller
// disagree on the state of the session.
func TestUnsupportedMessages(t *testing.T) {
	_, address := startServer(t, newFakeBackend(), nil)
	r := openRawConn(t, address)
	if types, code := r.roundTrip(&pgproto3.FunctionCall{Function: 1}); types != "EZI" || code != sqlstate.NotSupported {
		t.Fatal(types, code)
	}
	if types, _ := r.roundTrip(&pgproto3.CopyDone{}, &pgproto3.Query{String: "SELECT 1"}); types != "CZI" {
		t.Fatal(types)
	}
	r.write(parse("", "SELECT 1"), &pgproto3.Query{String: "SELECT 1"})
	if types, code := r.readUntil('E'); types != "E" || code != sqlstate.ProtocolViolation {
		t.Fatal(types, code)
	}
}

// Guards against a long read that keeps its slot after its caller has
// disconnected, and against losing the next batch of a caller that sends it
// during a long read.
func TestCallerGoesAway(t *testing.T) {
	f := newFakeBackend()
	s, address := startServer(t, f, nil)
	stays, leaves := openRawConn(t, address), openRawConn(t, address)
	stays.write(&pgproto3.Query{String: "SELECT hang"}, &pgproto3.Query{String: "SELECT 1"})
	leaves.write(&pgproto3.Query{String: "SELECT hang"})
	<-f.hangStarted
	<-f.hangStarted
	leaves.conn.Close()
	waitFor(t, "the session's end", func() bool { return s.Sessions() == 1 })
	f.hangResume <- struct{}{}
	if types, _ := stays.readUntil('Z'); types != "CZI" {
		t.Fatal(types)
	}
	if types, _ := stays.readUntil('Z'); types != "CZI" {
		t.Fatal(types)
	}
}

// Guards against a read that does not see the session's own write after its job has moved to
// another database and back: a position of another database is no floor, and a read without a
// floor sees every commit before its arrival.
func TestMovedJobHasNoFloorOfAnotherDatabase(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, nil)
	r := openRawConn(t, address)
	for i, step := range []struct {
		database model.Database
		floor    bool
	}{{"db", false}, {"db", true}, {"other", false}, {"other", true}, {"db", false}, {"db", true}} {
		f.update(func() { f.database = step.database })
		if _, code := r.roundTrip(&pgproto3.Query{String: "SELECT 1"}); code != "" {
			t.Fatal(code)
		}
		if b := f.lastBatch(); b.HasFloor != step.floor || step.floor && int(b.Floor.Pos) != i {
			t.Errorf("step %d on %s: floor %t %v, want %t", i, step.database, b.HasFloor, b.Floor, step.floor)
		}
	}
}
