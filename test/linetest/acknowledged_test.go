package linetest

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// connectTo opens a session at an upstream, without a VM.
func (p *Platform) connectTo(id string) *Caller {
	c, m := Connect(p.T, p.Group.Server(id).Address(), "STARTUP "+Service+" one")
	if m.Word != lineproto.Ready {
		p.T.Fatalf("startup: %+v", m)
	}
	return c
}

// newPlatformWithFence returns a Platform whose upstream b receives nothing.
func newPlatformWithFence(t *testing.T) *Platform {
	p := NewPlatform(t, linegroup.Options{ConnectionLimit: 10})
	p.connectTo("b").MustSucceed("PAUSE 2")
	return p
}

// wantLost promotes b, checks how many writes count as lost, and forgets all writes.
func (p *Platform) wantLost(n int) {
	p.T.Helper()
	p.Group.Promote("b", 1)
	if lost := p.ledger.lost(p.Group); len(lost) != n {
		p.T.Errorf("lost %q, want %d", lost, n)
	}
	p.ledger.list = nil
}

// Guards against a write that its caller saw acknowledged and that is not missed after the
// promotion of an upstream that lacks it: a single one, of a transaction, or a prepared one.
func TestAcknowledgedWritesAreMissed(t *testing.T) {
	p := newPlatformWithFence(t)
	c := p.connectTo("a")
	c.MustSucceed("WRITE item x")
	if last, _ := c.Transaction(); !last.OK() {
		t.Fatalf("transaction: %+v", last)
	}
	c.MustSucceed("PREPARE one WRITE shape")
	c.MustSucceed("EXECUTE one item x")
	p.wantLost(4)
}

// Guards against a loss that is reported of a write that no caller saw acknowledged, that was
// rolled back, or that only read.
func TestOtherWritesAreNotMissed(t *testing.T) {
	p := newPlatformWithFence(t)
	c := p.connectTo("a")
	p.connectTo("a").query("WRITE item unseen")
	c.MustSucceed("BEGIN")
	c.MustSucceed("WRITE item undone")
	c.MustSucceed("ROLLBACK")
	c.MustSucceed("READ item")
	p.wantLost(0)
}

// Guards against a lost write that is taken for kept since it was executed again after its
// caller saw it acknowledged.
func TestRepeatedExecutionDoesNotHideALoss(t *testing.T) {
	p := newPlatformWithFence(t)
	p.Group.Promote("a", 1)
	c := p.connectTo("a")
	r := c.MustSucceed("WRITE item x")
	p.Group.Promote("b", 1)
	time.Sleep(time.Millisecond)
	again := p.connectTo("b")
	again.Send("QUERY " + r.ID + " WRITE item x")
	if m, err := again.Reader.Read(); err != nil || m.Word != lineproto.Complete {
		t.Fatalf("%+v %v", m, err)
	}
	if p.Group.NumberOf(r.ID) == 0 {
		t.Fatal("the write was not executed again")
	}
	p.wantLost(1)
}
