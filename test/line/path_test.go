package line

import (
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

var quick = linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond, Lag: 5 * time.Millisecond}

// Guards against a path that does not serve a request from one end to the other.
func TestPath(t *testing.T) {
	f := newFixture(t, 2, quick)
	var written []string
	for _, database := range []string{"strict", "bounded", "own"} {
		c := f.dial(0, database)
		r := c.Want("WRITE item data")
		if r.Signature == lineproto.NilValue {
			t.Error("a write has no signature of its upstream")
		}
		written = append(written, r.ID)
		if r := c.Want("READ item"); !r.Contains(r.ID) || r.State != lineproto.Idle {
			t.Errorf("read: %+v", r)
		}
		c.Want("BEGIN")
		c.Want("READ item")
		written = append(written, c.Want("WRITE item more").ID)
		if r := c.Want("COMMIT"); r.State != lineproto.Idle || r.Signature == lineproto.NilValue {
			t.Errorf("commit: %+v", r)
		}
		c.Want("BEGIN READ")
		c.Want("READ item")
		c.Want("ROLLBACK")
		c.Want("BEGIN")
		c.Want("WRITE item undone")
		c.Want("ROLLBACK")
	}
	f.CheckHistory(written, nil)
	if n := len(f.Group.Log()); n != 6 {
		t.Errorf("%d commits, want 6", n)
	}
}

// Guards against a session that does not see its own commit on a replica.
func TestSessionSeesItsOwnCommits(t *testing.T) {
	f := newFixture(t, 1, linegroup.Options{ConnectionLimit: 40, Slots: 4, Lag: 60 * time.Millisecond})
	c := f.dial(0, "own")
	for range 10 {
		c.Want("WRITE item data")
		commits := len(f.Group.Log())
		r := c.Want("READ item")
		if r.Seen() < commits {
			t.Fatalf("a read saw %d of %d commits", r.Seen(), commits)
		}
	}
	f.CheckHistory(nil, nil)
}

// Guards against values and prepared statements of one session that reach
// another, or that are lost between connections.
func TestSessionsKeepTheirValuesApart(t *testing.T) {
	checkSessionValues(t, newFixture(t, 1, linegroup.Options{ConnectionLimit: 6, Slots: 2, Work: time.Millisecond}))
}

func checkSessionValues(t *testing.T, f *fixture) {
	one, two := f.dial(0, "own"), f.dial(0, "own")
	one.Want("SET color red")
	two.Want("SET color blue")
	two.Want("SET size big one")
	one.Want("PREPARE s READ shape1")
	two.Want("PREPARE s WRITE shape2")
	for range 5 {
		if r := one.Want("EXECUTE s item"); !r.Contains("color=red;") || r.Contains("size") {
			t.Errorf("rows %q", r.Rows)
		}
		two.Want("EXECUTE s item data")
		if r := two.Want("READ item"); !r.Contains("color=blue;size=big one;") {
			t.Errorf("rows %q", r.Rows)
		}
	}
	one.Want("DEALLOCATE s")
	one.Refused("EXECUTE s item", lineproto.NoStatement)
	f.CheckHistory(nil, nil)
}

// Guards against bad input that harms another caller or goes unanswered.
func TestBadInput(t *testing.T) {
	f := newFixture(t, 1, quick)
	for startup, code := range map[string]lineproto.Code{
		"STARTUP nothing " + linetest.Key: lineproto.NoDatabase,
		"STARTUP own wrong":               lineproto.NoAuth,
		"STARTUP own":                     lineproto.NoAuth,
		"HELLO":                           lineproto.Malformed,
	} {
		_, m := linetest.Dial(t, f.callers[0], startup)
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
		good.Refused(text, lineproto.Malformed)
	}
	good.Want("BEGIN")
	good.Refused("NOISE", lineproto.Malformed)
	if r := good.Refused("READ item", lineproto.Malformed); r.State != lineproto.TxFailed {
		t.Errorf("state %c after an error in a transaction", r.State)
	}
	good.Refused("COMMIT", lineproto.Aborted)
	good.Want("READ item")
}

// Guards against a withdrawn key that goes on working on an open session, also
// inside a transaction.
func TestWithdrawnKey(t *testing.T) {
	f := newFixture(t, 1, quick)
	idle, inTx := f.dial(0, "own"), f.dial(0, "own")
	idle.Want("READ item")
	inTx.Want("BEGIN")
	inTx.Want("WRITE item data")
	f.Configure("another-key")
	f.Await("the key refused", func() bool {
		r := idle.Query("READ item")
		return r.Code == lineproto.NoAuth || r.Broken
	})
	inTx.Refused("COMMIT", lineproto.NoAuth)
	if n := len(f.Group.Log()); n != 0 {
		t.Errorf("%d commits with a withdrawn key", n)
	}
}

// Guards against a transaction that holds a connection for ever.
func TestIdleTransactionEnds(t *testing.T) {
	f := newFixture(t, 1, quick)
	c := f.dial(0, "own")
	c.Want("BEGIN")
	c.Want("WRITE item data")
	time.Sleep(1200 * time.Millisecond)
	c.Refused("WRITE item more", lineproto.Malformed)
	c.Refused("COMMIT", lineproto.Aborted)
	c.Want("WRITE item again")
	if n := len(f.Group.Log()); n != 1 {
		t.Errorf("%d commits, want 1", n)
	}
}
