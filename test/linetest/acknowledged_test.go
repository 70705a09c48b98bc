package linetest

import (
	"strings"
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
	if lost := p.ledger.lost(p.Groups); len(lost) != n {
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

// Guards against the promotion of an upstream without commits that callers saw acknowledged before
// it led, and that is not reported as that, or that is reported of commits that no caller knew of.
func TestUnfitPromotionsAreReported(t *testing.T) {
	p := newPlatformWithFence(t)
	p.connectTo("a").query("WRITE item unseen")
	p.Group.Promote("b", 1)
	if messages := p.ledger.unfitPromotions(p.Groups); len(messages) != 0 {
		t.Errorf("reported %q", messages)
	}
	p.connectTo("c").MustSucceed("PAUSE 3")
	p.connectTo("b").MustSucceed("WRITE item x")
	p.Group.Promote("c", 2)
	messages := p.ledger.unfitPromotions(p.Groups)
	if len(messages) != 1 || !strings.Contains(messages[0], "promotion of c to term 3: it is empty and lacks 1 commits") || !strings.Contains(messages[0], "longer logs are at [a b]") {
		t.Errorf("reported %q", messages)
	}
	p.ledger.list = nil
}

// Guards against a pause that is not counted because writes of another group were acknowledged, or
// because it is the last one.
func TestLongestPauseIsThatOfTheGroup(t *testing.T) {
	p := NewPlatform(t, linegroup.Options{ConnectionLimit: 10})
	second := p.AddGroup(linegroup.Options{ConnectionLimit: 10})
	start := time.Now()
	c := p.connectTo("a")
	c.MustSucceed("WRITE item x")
	time.Sleep(20 * time.Millisecond)
	c.MustSucceed("WRITE item x")
	if pause, _ := p.LongestPause(second, start); pause < 20*time.Millisecond {
		t.Errorf("pause of the second group: %v", pause)
	}
	if pause, from := p.LongestPause(p.Group, start); pause < 20*time.Millisecond || !from.After(start) {
		t.Errorf("pause of the first group: %v, %v after the start", pause, from.Sub(start))
	}
	time.Sleep(60 * time.Millisecond)
	if pause, _ := p.LongestPause(p.Group, start); pause < 60*time.Millisecond {
		t.Errorf("last pause: %v", pause)
	}
}
