package line

import (
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// writers writes on all VMs until stop is called, and keeps what callers were told.
type writers struct {
	mu           sync.Mutex
	acknowledged []string
	refused      []string
	outcomes     map[lineproto.Code]int
	stopped      chan struct{}
	wg           sync.WaitGroup
}

func (f *fixture) startWriters(n int) *writers {
	w := &writers{outcomes: map[lineproto.Code]int{}, stopped: make(chan struct{})}
	for i := range n {
		c := f.dial(i%len(f.callers), "own")
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			w.run(c, i%2 == 0)
		}()
	}
	return w
}

// run writes single statements or transactions.
func (w *writers) run(c *caller, single bool) {
	for {
		select {
		case <-w.stopped:
			return
		default:
		}
		var ids []string
		var last result
		if single {
			last = c.query("WRITE item data")
			ids = append(ids, last.id)
		} else {
			last, ids = transaction(c)
		}
		if last.broken {
			return
		}
		w.note(&last, ids)
		time.Sleep(2 * time.Millisecond)
	}
}

// transaction writes twice and commits.
func transaction(c *caller) (last result, ids []string) {
	for _, text := range []string{"BEGIN", "WRITE item one", "WRITE item two", "COMMIT"} {
		last = c.query(text)
		if text[0] == 'W' {
			ids = append(ids, last.id)
		}
		if !last.ok() {
			if last.state == lineproto.TxFailed {
				c.query("ROLLBACK")
			}
			return last, ids
		}
	}
	return last, ids
}

func (w *writers) note(last *result, ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[last.code]++
	switch last.code {
	case "":
		w.acknowledged = append(w.acknowledged, ids...)
	case lineproto.Busy, lineproto.Aborted, lineproto.ReadOnly, lineproto.Lagging, lineproto.TooMany, lineproto.Misrouted:
		w.refused = append(w.refused, ids...)
	}
}

func (w *writers) count(code lineproto.Code) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outcomes[code]
}

func (w *writers) stop() {
	close(w.stopped)
	w.wg.Wait()
}

// check compares what callers were told with what the group has.
func (f *fixture) check(w *writers) {
	f.t.Helper()
	f.checkHistory(w.acknowledged)
	committed := map[string]bool{}
	for _, c := range f.group.Log() {
		for _, id := range c.IDs {
			committed[id] = true
		}
	}
	for _, id := range w.refused {
		if committed[id] {
			f.t.Errorf("write %s was refused as not run and is committed", id)
		}
	}
}

// Guards against lost and doubled writes, and false refusals, when the primary
// crashes and comes back as a replica; and against writes that stay refused.
func TestPrimaryCrash(t *testing.T) {
	f := newFixture(t, 3, quick)
	w := f.startWriters(6)
	f.await("writes", func() bool { return w.count("") > 50 })
	f.group.Server("a").Stop()
	f.await("another primary", func() bool { return f.group.Leader() != "a" })
	if err := f.group.Server("a").Start(); err != nil {
		t.Fatal(err)
	}
	served := w.count("")
	f.await("writes after the change", func() bool { return w.count("") > served+50 })
	w.stop()
	f.check(w)
}

// Guards against requests lost by the planned change of a primary.
func TestLeavingPrimary(t *testing.T) {
	f := newFixture(t, 3, quick)
	w := f.startWriters(6)
	f.await("writes", func() bool { return w.count("") > 50 })
	f.register("a", "draining", true)
	f.await("another primary", func() bool { return f.group.Leader() != "a" })
	served := w.count("")
	f.await("writes after the change", func() bool { return w.count("") > served+50 })
	w.stop()
	f.check(w)
	for code, n := range w.outcomes {
		if code != "" && code != lineproto.ReadOnly && code != lineproto.Busy {
			t.Errorf("%d requests ended with %s", n, code)
		}
	}
}

// Guards against a write that is sent again, or refused as not run, after its
// answer was lost, and against a read that fails for it.
func TestLostAnswers(t *testing.T) {
	f := newFixture(t, 1, quick)
	c := f.dial(0, "own")
	c.want("READ item")
	f.group.Server("a").LoseAnswers(1)
	c.refused("WRITE item data", lineproto.InDoubt)
	c.want("BEGIN")
	c.want("WRITE item data")
	f.group.Server("a").LoseAnswers(1)
	if r := c.query("COMMIT"); r.code != lineproto.InDoubt || r.state != lineproto.Idle {
		t.Errorf("commit: %+v", r)
	}
	c.want("BEGIN")
	f.group.Server("a").LoseAnswers(1)
	if r := c.refused("WRITE item data", lineproto.Aborted); r.state != lineproto.TxFailed {
		t.Errorf("state %c", r.state)
	}
	c.want("ROLLBACK")
	for _, id := range []string{"b", "c"} {
		f.group.Server(id).LoseAnswers(1)
	}
	c.want("READ item")
	f.checkHistory(nil)
	if n := len(f.group.Log()); n != 2 {
		t.Errorf("%d commits, want 2", n)
	}
}

// Guards against reads that wait for an upstream that answers nothing.
func TestSilentReplica(t *testing.T) {
	f := newFixture(t, 1, quick)
	c := f.dial(0, "bounded")
	for range 4 {
		c.want("READ item")
	}
	f.group.Server("b").SetSilent(true)
	for range 10 {
		c.want("READ item")
	}
	f.group.Server("b").SetSilent(false)
}

// Guards against stale reads while a replica receives nothing.
func TestDeafReplicas(t *testing.T) {
	f := newFixture(t, 1, quick)
	w := f.startWriters(2)
	f.group.Server("b").SetDeaf(true)
	c := f.dial(0, "own")
	for range 20 {
		c.want("WRITE item data")
		commits := len(f.group.Log())
		r := c.want("READ item")
		if !atLeast(positionOf(r), commits) {
			t.Fatalf("a read saw %q, %d commits were acknowledged", r.rows, commits)
		}
	}
	w.stop()
	f.check(w)
}

func positionOf(r result) string {
	position := ""
	for i, field := 0, 0; i < len(r.rows[0]); i++ {
		if r.rows[0][i] == ' ' {
			field++
			continue
		}
		if field == 1 {
			position += string(r.rows[0][i])
		}
	}
	return position
}

// Guards against service that ends with the store, and against a configuration
// that is missed when the store loses its history meanwhile.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t, 2, quick)
	c := f.dial(0, "own")
	f.store.Down.Store(true)
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.want("WRITE item data")
		c.want("READ item")
	}
	f.configure("another-key")
	f.store.EndLeases()
	f.store.ForgetHistory()
	f.store.Down.Store(false)
	f.await("the new configuration", func() bool { return c.query("READ item").code == lineproto.NoAuth })
}

// Guards against changes whose answers are lost: the duty is taken all the same,
// and a primary is replaced.
func TestLostStoreAnswers(t *testing.T) {
	f := newFixture(t, 1, quick)
	f.store.LoseAnswers.Store(2)
	f.store.EndLeases()
	time.Sleep(500 * time.Millisecond)
	f.group.Server("a").Stop()
	f.await("another primary", func() bool { return f.group.Leader() != "a" })
}

// Guards against a stop that cuts requests.
func TestGracefulStop(t *testing.T) {
	f := newPlatform(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: 5 * time.Millisecond})
	f.grace = 4 * time.Second
	f.startAll(2)
	w := f.startWriters(8)
	f.await("writes", func() bool { return w.count("") > 50 })
	f.nodes[0].Stop()
	w.stop()
	f.check(w)
	for code, n := range w.outcomes {
		if code != "" && code != lineproto.Busy {
			t.Errorf("%d requests ended with %s", n, code)
		}
	}
}

// Guards against more connections to an upstream than it accepts.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, 3, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond})
	w := f.startWriters(60)
	time.Sleep(2 * time.Second)
	w.stop()
	f.check(w)
	for _, id := range []string{"a", "b", "c"} {
		if n := f.group.Server(id).OverLimit(); n > 0 {
			t.Errorf("upstream %s refused %d connections above its limit", id, n)
		}
	}
}
