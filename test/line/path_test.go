package line

import (
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

var quick = linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond, Lag: 5 * time.Millisecond}

// Guards against a path that does not serve a request from one end to the other.
func TestPath(t *testing.T) {
	f := newFixture(t, 2, quick)
	var written []string
	for _, database := range []string{"strict", "bounded", "own"} {
		c := f.dial(0, database)
		r := c.want("WRITE item data")
		if r.signature == lineproto.OwnID {
			t.Error("a write has no signature of its upstream")
		}
		written = append(written, r.id)
		if r := c.want("READ item"); !contains(r.rows, r.id) || r.state != lineproto.Idle {
			t.Errorf("read: %+v", r)
		}
		c.want("BEGIN")
		c.want("READ item")
		written = append(written, c.want("WRITE item more").id)
		if r := c.want("COMMIT"); r.state != lineproto.Idle || r.signature == lineproto.OwnID {
			t.Errorf("commit: %+v", r)
		}
		c.want("BEGIN READ")
		c.want("READ item")
		c.want("ROLLBACK")
		c.want("BEGIN")
		c.want("WRITE item undone")
		c.want("ROLLBACK")
	}
	f.checkHistory(written)
	if n := len(f.group.Log()); n != 6 {
		t.Errorf("%d commits, want 6", n)
	}
}

// Guards against a session that does not see its own commit on a replica.
func TestSessionSeesItsOwnCommits(t *testing.T) {
	f := newFixture(t, 1, linegroup.Options{ConnectionLimit: 40, Slots: 4, Lag: 60 * time.Millisecond})
	c := f.dial(0, "own")
	for range 10 {
		c.want("WRITE item data")
		commits := len(f.group.Log())
		r := c.want("READ item")
		if position := strings.Fields(r.rows[0])[1]; position < "0" || !atLeast(position, commits) {
			t.Fatalf("a read saw %s of %d commits", position, commits)
		}
	}
	f.checkHistory(nil)
}

func atLeast(position string, commits int) bool {
	n := 0
	for _, digit := range position {
		n = n*10 + int(digit-'0')
	}
	return n >= commits
}

// Guards against values and prepared statements of one session that reach
// another, or that are lost between connections.
func TestSessionsKeepTheirValuesApart(t *testing.T) {
	f := newFixture(t, 1, linegroup.Options{ConnectionLimit: 6, Slots: 2, Work: time.Millisecond})
	one, two := f.dial(0, "own"), f.dial(0, "own")
	one.want("SET color red")
	two.want("SET color blue")
	two.want("SET size big one")
	one.want("PREPARE s READ shape1")
	two.want("PREPARE s WRITE shape2")
	for range 5 {
		if r := one.want("EXECUTE s item"); !contains(r.rows, "color=red;") || contains(r.rows, "size") {
			t.Errorf("rows %q", r.rows)
		}
		two.want("EXECUTE s item data")
		if r := two.want("READ item"); !contains(r.rows, "color=blue;size=big one;") {
			t.Errorf("rows %q", r.rows)
		}
	}
	one.want("DEALLOCATE s")
	one.refused("EXECUTE s item", lineproto.NoStatement)
	f.checkHistory(nil)
}

// Guards against bad input that harms another caller or goes unanswered.
func TestBadInput(t *testing.T) {
	f := newFixture(t, 1, quick)
	for startup, code := range map[string]lineproto.Code{
		"STARTUP nothing " + key: lineproto.NoDatabase,
		"STARTUP own wrong":      lineproto.NoAuth,
		"STARTUP own":            lineproto.NoAuth,
		"HELLO":                  lineproto.Malformed,
	} {
		_, m := dial(t, f.callers[0], startup)
		if m.Word != lineproto.Error || !strings.HasPrefix(m.Rest, string(code)) {
			t.Errorf("%s: %+v, want %s", startup, m, code)
		}
	}
	good := f.dial(0, "own")
	for _, line := range []string{"NOISE", "QUERY", "QUERY - READ item", "QUERY id READ a\rb", "READY I -"} {
		c := f.dial(0, "own")
		c.send(line)
		if m, err := c.reader.Read(); err != nil || m.Word != lineproto.Error {
			t.Errorf("%q: %+v, %v", line, m, err)
		}
	}
	large := f.dial(0, "own")
	go large.send("QUERY id READ " + strings.Repeat("x", lineproto.MaxMessage))
	if m, err := large.reader.Read(); err != nil || !strings.HasPrefix(m.Rest, string(lineproto.TooLarge)) {
		t.Errorf("a message above the limit: %+v, %v", m, err)
	}
	for _, text := range []string{"STATUS", "AFTER 1.1 READ item", "DROP all", "COMMIT", "PAUSE 9"} {
		good.refused(text, lineproto.Malformed)
	}
	good.want("BEGIN")
	good.refused("NOISE", lineproto.Malformed)
	if r := good.refused("READ item", lineproto.Malformed); r.state != lineproto.TxFailed {
		t.Errorf("state %c after an error in a transaction", r.state)
	}
	good.refused("COMMIT", lineproto.Aborted)
	good.want("READ item")
}

// Guards against a withdrawn key that goes on working on an open session, also
// inside a transaction.
func TestWithdrawnKey(t *testing.T) {
	f := newFixture(t, 1, quick)
	idle, inTx := f.dial(0, "own"), f.dial(0, "own")
	idle.want("READ item")
	inTx.want("BEGIN")
	inTx.want("WRITE item data")
	f.configure("another-key")
	f.await("the key refused", func() bool {
		r := idle.query("READ item")
		return r.code == lineproto.NoAuth || r.broken
	})
	inTx.refused("COMMIT", lineproto.NoAuth)
	if n := len(f.group.Log()); n != 0 {
		t.Errorf("%d commits with a withdrawn key", n)
	}
}

// Guards against a transaction that holds a connection for ever.
func TestIdleTransactionEnds(t *testing.T) {
	f := newFixture(t, 1, quick)
	c := f.dial(0, "own")
	c.want("BEGIN")
	c.want("WRITE item data")
	time.Sleep(1200 * time.Millisecond)
	c.refused("WRITE item more", lineproto.Malformed)
	c.refused("COMMIT", lineproto.Aborted)
	c.want("WRITE item again")
	if n := len(f.group.Log()); n != 1 {
		t.Errorf("%d commits, want 1", n)
	}
}
