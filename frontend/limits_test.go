package frontend

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// Guards against a message or batch above the limit that ends the session or
// reaches the executor.
func TestMessageSize(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, func(o *Options) { o.Limits.MessageSize = 4096 })
	r := openRawConn(t, address)
	long := string(make([]byte, 1<<20))
	if types, code := r.roundTrip(&pgproto3.Query{String: long}); types != "EZI" || code != sqlstate.TooLarge {
		t.Fatal(types, code)
	}
	if types, code := r.roundTrip(parse("", long), bind(""), execute, syncNow); types != "EZI" || code != sqlstate.TooLarge {
		t.Fatal(types, code)
	}
	value := &pgproto3.Bind{Parameters: [][]byte{make([]byte, 3000)}}
	if types, code := r.roundTrip(parse("", "SELECT 1"), value, execute, value, execute, syncNow); types != "EZI" || code != sqlstate.TooLarge {
		t.Fatal(types, code)
	}
	if types, _ := r.roundTrip(&pgproto3.Query{String: "SELECT 1"}); types != "CZI" || f.batchCount() != 1 {
		t.Fatal(types, f.batchCount())
	}
}

// Guards against an idle session that keeps its stream, and against a session
// that fails after its memory was released.
func TestIdleRelease(t *testing.T) {
	f := newFakeBackend()
	_, address := startServer(t, f, func(o *Options) { o.Limits.IdleReleaseDelay = time.Millisecond })
	conn := mustConnect(t, address, "")
	for i := range 2 {
		if code := execSQL(t, conn, "SELECT 1"); code != "" {
			t.Fatal(code)
		}
		waitFor(t, "the stream's end", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.closedStreams == i+1
		})
	}
}

// Guards against large requests of a few sessions that use up the memory of all
// others, and against reservations that are never returned.
func TestMemoryBudget(t *testing.T) {
	s, address := startServer(t, newFakeBackend(), func(o *Options) { o.Limits.Memory = 200 << 10 })
	r, other := openRawConn(t, address), openRawConn(t, address)
	large := string(make([]byte, 300<<10))
	medium := &pgproto3.Query{String: "SELECT '" + large[:60<<10] + "'"}
	for range 3 {
		if types, code := r.roundTrip(&pgproto3.Query{String: large}); types != "EZI" || code != sqlstate.OutOfMemory {
			t.Fatal(types, code)
		}
		if types, _ := r.roundTrip(medium); types != "CZI" {
			t.Fatal(types)
		}
	}
	value := &pgproto3.Bind{Parameters: [][]byte{make([]byte, 60<<10)}}
	r.write(parse("", "SELECT 1"), value, execute, value, execute)
	third := openRawConn(t, address)
	if _, err := third.conn.Write(append([]byte{'Q', 0, 2, 0, 0}, make([]byte, 40<<10)...)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the reservations", func() bool { return s.memory.used.Load() > 120<<10 })
	if types, code := other.roundTrip(&pgproto3.Query{String: large[:150<<10]}); types != "EZI" || code != sqlstate.OutOfMemory {
		t.Fatal(types, code)
	}
	if types, _ := other.roundTrip(&pgproto3.Query{String: "SELECT 1"}); types != "CZI" {
		t.Fatal(types)
	}
	r.conn.Close()
	other.conn.Close()
	third.conn.Close()
	waitFor(t, "the memory", func() bool { return s.Sessions() == 0 && s.memory.used.Load() == 0 })
}

// Guards against a batch that is never completed, and against a caller that
// keeps a transaction open without sending anything.
func TestBatchTime(t *testing.T) {
	_, address := startServer(t, newFakeBackend(), func(o *Options) { o.Limits.BatchTimeout = 50 * time.Millisecond })
	r := openRawConn(t, address)
	r.write(parse("", "SELECT 1"))
	if _, code := r.readUntil('E'); code != sqlstate.ProtocolViolation {
		t.Fatal(code)
	}
	r = openRawConn(t, address)
	r.roundTrip(&pgproto3.Query{String: "BEGIN"})
	if _, code := r.readUntil('E'); code != sqlstate.IdleInTransaction {
		t.Fatal(code)
	}
}

// Guards against a cancel request with a wrong cancel key that cancels the
// batch of another caller.
func TestCancelKey(t *testing.T) {
	f := newFakeBackend()
	s, address := startServer(t, f, nil)
	r := openRawConn(t, address)
	r.write(&pgproto3.Query{String: "SELECT hang"})
	<-f.hangStarted
	session := s.sessionList()[0]
	wrong := append([]byte(nil), session.cancelKey...)
	wrong[0] ^= 1
	s.cancelRequest(&pgproto3.CancelRequest{ProcessID: session.processID, SecretKey: wrong})
	s.cancelRequest(&pgproto3.CancelRequest{ProcessID: session.processID + 1, SecretKey: session.cancelKey})
	s.cancelRequest(&pgproto3.CancelRequest{ProcessID: session.processID, SecretKey: session.cancelKey})
	types, _ := r.readUntil('Z')
	f.update(func() {
		if types != "CZI" || f.cancels != 1 {
			t.Errorf("answer %q, %d cancellations", types, f.cancels)
		}
	})
}
