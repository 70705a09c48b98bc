package line

import (
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

// fastGroup has statements and replication that take a few milliseconds.
var fastGroup = linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond, Lag: 5 * time.Millisecond}

// Reads, writes and transactions have to be served end to end on routes of each kind.
func TestPath(t *testing.T) {
	f := newFixture(t, 2, fastGroup)
	var written []string
	for _, database := range []string{"strict", "bounded", "own"} {
		c := f.dial(0, database)
		r := c.MustSucceed("WRITE item data")
		if r.Signature == lineproto.NilValue {
			t.Error("the answer to a write lacks the signature of its upstream")
		}
		written = append(written, r.ID)
		if r := c.MustSucceed("READ item"); !r.Contains(r.ID) || r.State != lineproto.Idle {
			t.Errorf("read: %+v", r)
		}
		c.MustSucceed("BEGIN")
		c.MustSucceed("READ item")
		written = append(written, c.MustSucceed("WRITE item more").ID)
		if r := c.MustSucceed("COMMIT"); r.State != lineproto.Idle || r.Signature == lineproto.NilValue {
			t.Errorf("commit: %+v", r)
		}
		c.MustSucceed("BEGIN READ")
		c.MustSucceed("READ item")
		c.MustSucceed("ROLLBACK")
		c.MustSucceed("BEGIN")
		c.MustSucceed("WRITE item undone")
		c.MustSucceed("ROLLBACK")
	}
	f.CheckHistory(written, nil)
	if n := len(f.Group.Log()); n != 6 {
		t.Errorf("%d commits, want 6", n)
	}
}

// A read-your-writes session has to see its own commits even if replicas lag.
func TestSessionSeesItsOwnCommits(t *testing.T) {
	f := newFixture(t, 1, linegroup.Options{ConnectionLimit: 40, Slots: 4, Lag: 60 * time.Millisecond})
	c := f.dial(0, "own")
	for range 10 {
		c.MustSucceed("WRITE item data")
		commits := len(f.Group.Log())
		r := c.MustSucceed("READ item")
		if r.CommitsSeen() < commits {
			t.Fatalf("read saw %d of %d commits", r.CommitsSeen(), commits)
		}
	}
	f.CheckHistory(nil, nil)
}

// Values and prepared statements of a session must not leak into other sessions that
// share its connections, and have to follow the session to other connections.
func TestSessionsKeepTheirValuesApart(t *testing.T) {
	checkSessionValues(t, newFixture(t, 1, linegroup.Options{ConnectionLimit: 6, Slots: 2, Work: time.Millisecond}))
}

// checkSessionValues runs two sessions with different values and prepared statements
// on one VM.
func checkSessionValues(t *testing.T, f *fixture) {
	one, two := f.dial(0, "own"), f.dial(0, "own")
	one.MustSucceed("SET color red")
	two.MustSucceed("SET color blue")
	two.MustSucceed("SET size big one")
	one.MustSucceed("PREPARE s READ shape1")
	two.MustSucceed("PREPARE s WRITE shape2")
	for range 5 {
		if r := one.MustSucceed("EXECUTE s item"); !r.Contains("color=red;") || r.Contains("size") {
			t.Errorf("rows %q", r.Rows)
		}
		two.MustSucceed("EXECUTE s item data")
		if r := two.MustSucceed("READ item"); !r.Contains("color=blue;size=big one;") {
			t.Errorf("rows %q", r.Rows)
		}
	}
	one.MustSucceed("DEALLOCATE s")
	one.MustFail("EXECUTE s item", lineproto.NoStatement)
	f.CheckHistory(nil, nil)
}

// Malformed input has to be answered with an error and must not affect other callers.
func TestBadInput(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	for startup, code := range map[string]lineproto.Code{
		"STARTUP nothing " + linetest.Key: lineproto.NoDatabase,
		"STARTUP own wrong":               lineproto.NoAuth,
		"STARTUP own":                     lineproto.NoAuth,
		"HELLO":                           lineproto.Malformed,
	} {
		_, m := linetest.Connect(t, f.callers[0], startup)
		if m.Word != lineproto.Error || !strings.HasPrefix(m.Rest, string(code)) {
			t.Errorf("%s: %+v, want %s", startup, m, code)
		}
	}
	good := f.dial(0, "own")
	for _, line := range []string{"NOISE", "QUERY", "QUERY - READ item", "QUERY id READ a\rb", "READY I -"} {
		c := f.dial(0, "own")
		c.Send(line)
		if m, err := c.Reader.Read(); err != nil || m.Word != lineproto.Error {
			t.Errorf("%q: %+v, %v", line, m, err)
		}
	}
	large := f.dial(0, "own")
	go large.Send("QUERY id READ " + strings.Repeat("x", lineproto.MaxMessage))
	if m, err := large.Reader.Read(); err != nil || !strings.HasPrefix(m.Rest, string(lineproto.TooLarge)) {
		t.Errorf("a message above the limit: %+v, %v", m, err)
	}
	for _, text := range []string{"STATUS", "AFTER 1.1 READ item", "DROP all", "COMMIT", "PAUSE 9"} {
		good.MustFail(text, lineproto.Malformed)
	}
	good.MustSucceed("BEGIN")
	good.MustFail("NOISE", lineproto.Malformed)
	if r := good.MustFail("READ item", lineproto.Malformed); r.State != lineproto.TxFailed {
		t.Errorf("state %c after an error in a transaction", r.State)
	}
	good.MustFail("COMMIT", lineproto.Aborted)
	good.MustSucceed("READ item")
}

// A withdrawn key has to stop working on open sessions, also inside a transaction.
func TestWithdrawnKey(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	idle, inTx := f.dial(0, "own"), f.dial(0, "own")
	idle.MustSucceed("READ item")
	inTx.MustSucceed("BEGIN")
	inTx.MustSucceed("WRITE item data")
	f.Configure("another-key")
	f.WaitFor("the key refused", func() bool {
		r := idle.Query("READ item")
		return r.Code == lineproto.NoAuth || r.Broken
	})
	inTx.MustFail("COMMIT", lineproto.NoAuth)
	if n := len(f.Group.Log()); n != 0 {
		t.Errorf("%d commits with a withdrawn key", n)
	}
}

// An idle transaction has to be aborted so that it does not occupy a connection
// indefinitely.
func TestIdleTransactionEnds(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	c := f.dial(0, "own")
	c.MustSucceed("BEGIN")
	c.MustSucceed("WRITE item data")
	time.Sleep(1200 * time.Millisecond)
	c.MustFail("WRITE item more", lineproto.Malformed)
	c.MustFail("COMMIT", lineproto.Aborted)
	c.MustSucceed("WRITE item again")
	if n := len(f.Group.Log()); n != 1 {
		t.Errorf("%d commits, want 1", n)
	}
}
