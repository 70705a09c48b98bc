package line

import (
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/standin/metastore"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

// formerPrimaryGroup is fastGroup with a former primary that serves on after a
// promotion.
func formerPrimaryGroup() linegroup.Options {
	o := fastGroup
	o.FormerPrimaryServes, o.YieldAfter = true, time.Second
	return o
}

// strictReaders read on the strict route of all VMs until stop is called, and check
// that each read sees every commit that was acknowledged before it and that no promotion
// has discarded.
type strictReaders struct {
	stopped chan struct{}
	wg      sync.WaitGroup
}

func (f *fixture) startStrictReaders() *strictReaders {
	r := &strictReaders{stopped: make(chan struct{})}
	for vm := range f.nodes {
		c := f.dial(vm, "strict")
		r.wg.Go(func() {
			for {
				select {
				case <-r.stopped:
					return
				default:
				}
				mark := f.Group.Mark()
				a := c.Query("READ item")
				if acknowledged := f.Group.Kept(mark); a.OK() && a.CommitsSeen() < acknowledged {
					f.t.Errorf("read on VM %d saw %d of %d acknowledged commits", vm, a.CommitsSeen(), acknowledged)
				}
				if a.Broken {
					c = f.reopen(c, vm, "strict")
				}
			}
		})
	}
	return r
}

// reopen returns a new session in place of one that its VM has ended, as a VM does after
// a refusal while it counts as cut off. It returns the old one if the VM accepts none.
func (f *fixture) reopen(old *linetest.Caller, vm int, database string) *linetest.Caller {
	c, m, err := linetest.TryConnect(f.t, f.callers[vm], "STARTUP "+database+" "+linetest.Key)
	if err != nil || m.Word != lineproto.Ready {
		return old
	}
	_ = old.Conn.Close()
	return c
}

func (r *strictReaders) stop() {
	close(r.stopped)
	r.wg.Wait()
}

// After a promotion, no strict read may run on the former primary, which serves on
// since it cannot reach the new one and does not step down; and no acknowledged write
// may be lost or doubled. Covers a switchover, and a failover of a primary that is silent
// for a while, on a platform that checks fencing tokens and on one that does not.
func TestFormerPrimaryServesOn(t *testing.T) {
	for name, depose := range map[string]func(f *fixture){
		"switchover": func(f *fixture) { f.Register("a", "draining") },
		"failover":   func(f *fixture) { f.Group.Server("a").SetSilent(true) },
	} {
		for _, ignoreTokens := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				o := formerPrimaryGroup()
				o.IgnoreTokens = ignoreTokens
				f := newFixture(t, 3, o)
				w := f.startWriters(3)
				r := f.startStrictReaders()
				f.WaitFor("writes", func() bool { return w.Count("") > 50 })
				f.Group.Server("a").SetNewPrimaryCut(true)
				f.Group.Server("a").IgnoreStepDown(true)
				depose(f)
				f.WaitFor("another primary", func() bool { return f.Group.Primary() != "a" })
				f.Group.Server("a").SetSilent(false)
				served := w.Count("")
				f.WaitFor("writes at the new primary", func() bool { return w.Count("") > served+50 })
				if !f.Group.Server("a").FormerPrimary() {
					t.Error("the former primary does not serve on")
				}
				f.Group.Server("a").SetNewPrimaryCut(false)
				f.WaitFor("the end of the former primary", func() bool { return !f.Group.Server("a").FormerPrimary() })
				r.stop()
				w.stop()
				w.Check(f.Platform)
			})
		}
	}
}

// Guards against promotion calls that are carried out seconds after they were given up, on a
// platform that does not check fencing tokens: the primary is changed by a call that nobody waits
// for, while the former one serves on. No strict read may run on a former primary, and no
// acknowledged write may be lost or doubled.
func TestLatePromotionCalls(t *testing.T) {
	for name, target := range map[string]func(f *fixture){
		"the target answers": func(*fixture) {},
		"the target is down when the call is given up": func(f *fixture) {
			time.Sleep(500 * time.Millisecond)
			for _, id := range []string{"b", "c"} {
				f.Group.Server(id).SetSilent(true)
			}
			time.Sleep(3 * time.Second)
			for _, id := range []string{"b", "c"} {
				f.Group.Server(id).SetSilent(false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := formerPrimaryGroup()
			o.IgnoreTokens = true
			f := newFixture(t, 3, o)
			w := f.startWriters(3)
			r := f.startStrictReaders()
			f.WaitFor("writes", func() bool { return w.Count("") > 50 })
			f.Store.LatePromotions.Store(2)
			f.Register("a", "draining")
			target(f)
			f.WaitFor("another primary", func() bool { return f.Group.Primary() != "a" })
			time.Sleep(metastore.LatePromotionDelay)
			served := w.Count("")
			f.WaitFor("writes at the new primary", func() bool { return w.Count("") > served+50 })
			r.stop()
			w.stop()
			w.Check(f.Platform)
		})
	}
}
