package soak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/ports"
)

// promoteDelay is the time between the call for a promotion and its effect in these tests.
const promoteDelay = time.Second

// targetCut is how long a target is cut off from the time at which it leads, unless another
// promotion is called for before.
const targetCut = 6 * time.Second

// settleTime is how long VMs have at the start to learn of each other and of the group, and after
// the last fault to call for a promotion.
const settleTime = 2 * time.Second

// roleReportInterval is how long a change of an upstream's role may go unreported.
const roleReportInterval = 20 * time.Millisecond

// daemon returns the path of the daemon to run.
func daemon(t *testing.T) string {
	if binary := os.Getenv("SOAK_BINARY"); binary != "" {
		return binary
	}
	return buildDaemon(t)
}

// platformGroup returns the options of a group that changes its primary as the platform does.
func platformGroup(seed uint64) linegroup.Options {
	return linegroup.Options{
		ConnectionLimit: 40, Slots: 4, Work: time.Millisecond, Lag: 5 * time.Millisecond, PromoteDelay: promoteDelay,
		Address: ports.Free, Seed: seed,
	}
}

// newPlatformRun is newRun with groups whose upstreams report changes of their roles.
func newPlatformRun(t *testing.T, binary string, seed uint64, options ...linegroup.Options) *soakRun {
	w := newRun(t, binary, seed, options...)
	w.wg.Go(func() {
		seen := make([]time.Time, len(w.databases))
		for i := range seen {
			seen[i] = time.Now()
		}
		for !w.stopping.Load() {
			w.ReportRoles()
			for i, d := range w.databases {
				now := time.Now()
				d.withoutPrimary = max(d.withoutPrimary, now.Sub(seen[i]))
				if s := d.group.Server(d.group.Primary()); s != nil && !s.Stopped() {
					seen[i] = now
				}
			}
			time.Sleep(roleReportInterval)
		}
	})
	return w
}

// cutServer cuts an upstream of a group off from VMs and from the other servers, until restore is
// called. A server that joins meanwhile is not cut off from it.
func (w *soakRun) cutServer(g *linegroup.Group, id string, vms []int) (restore func()) {
	var others []string
	for _, other := range g.Servers() {
		if other != id {
			others = append(others, other)
			g.SetPathCut(id, other, true)
		}
	}
	restoreLink := w.upstream(id).cut(vms)
	return func() {
		for _, other := range others {
			g.SetPathCut(id, other, false)
		}
		restoreLink()
	}
}

// join adds a replica to a group, and registers it after d.
func (w *soakRun) join(g *linegroup.Group, id, zone string, d time.Duration) {
	if _, err := g.Add(id, zone); err != nil {
		w.t.Error(err)
		return
	}
	w.addLink(id)
	w.undoAfter(d, func() { w.Register(id, "ready") })
}

// awaitWrites waits until n further writes have succeeded.
func (w *soakRun) awaitWrites(what string, n int) {
	w.t.Helper()
	served := w.outcomes.Count("")
	w.WaitFor(what, func() bool { return w.outcomes.Count("") >= served+n })
}

const (
	// windowDelay is longer than a second, after which VMs read the list of upstreams again:
	// they pass a commit on once they have read that of the replica that has joined.
	windowDelay = 1200 * time.Millisecond
	// windowRounds is how often the script of the window runs.
	windowRounds = 3
)

// Guards against commits that are lost between the call for a promotion and its effect: a cut
// primary is back before its successor leads, and acknowledges commits through a replica that has
// joined after the others were fenced.
func TestNoCommitIsLostBetweenThePromotionCallAndItsEffect(t *testing.T) {
	o := platformGroup(1)
	o.PromoteDelay = windowDelay
	w := newPlatformRun(t, daemon(t), 1, o)
	w.startCallers()
	for round := range windowRounds {
		w.awaitWrites("writes", 200)
		time.Sleep(settleTime)
		w.cutPrimaryUntilCall(fmt.Sprint("d", round))
		if w.Lost() > 0 {
			t.Logf("lost in round %d of %d", round+1, windowRounds)
			break
		}
	}
	w.finish()
}

// cutPrimaryUntilCall cuts the primary off until its successor is called, lets the replica id
// join then, and waits until the successor serves.
func (w *soakRun) cutPrimaryUntilCall(id string) {
	w.t.Helper()
	old := w.Group.Primary()
	w.recordEvent("upstream %s is cut off", old)
	restore := w.cutServer(w.Group, old, w.allVMs())
	w.WaitFor("a promotion call", func() bool { return len(w.Group.PendingPromotions()) > 0 })
	w.recordEvent("promotion of %v called; upstream %s is back, %s joins", w.Group.PendingPromotions(), old, id)
	restore()
	w.join(w.Group, id, w.Group.Server(old).Zone(), 0)
	w.WaitFor("another primary", func() bool { return w.Group.Primary() != old && w.Group.Primary() != "" })
	promotions := w.Group.Promotions()
	last := &promotions[len(promotions)-1]
	w.recordEvent("upstream %s leads with %d commits, %d are discarded", last.ID, last.Kept, len(last.Discarded))
	w.awaitWrites("writes after the change", 50)
}

// Guards against commits that only a leaving replica has received: the replica ends, the primary
// crashes, its entry lapses, and another upstream is promoted before the primary is back with
// its log.
func TestNoCommitIsLostWithALeavingReplicaAndACrash(t *testing.T) {
	w := newPlatformRun(t, daemon(t), 1, platformGroup(1))
	w.startCallers()
	w.awaitWrites("writes", 200)
	w.recordEvent("c leaves, d joins")
	w.Register("c", "draining")
	w.join(w.Group, "d", "zone-c", 300*time.Millisecond)
	time.Sleep(3 * time.Second)
	w.recordEvent("b and d receive nothing")
	w.setReceiveStopped(true, "b", "d")
	time.Sleep(900 * time.Millisecond)
	w.recordEvent("a crashes")
	a := w.Group.Server("a")
	a.Stop()
	time.Sleep(300 * time.Millisecond)
	w.recordEvent("c ends")
	w.Group.Remove("c")
	w.Deregister("c")
	time.Sleep(3 * time.Second)
	w.recordEvent("the entry of a lapses")
	w.Deregister("a")
	time.Sleep(6 * time.Second)
	w.recordEvent("a is back")
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	w.Register("a", "ready")
	w.setReceiveStopped(false, "b", "d")
	time.Sleep(settleTime)
	w.awaitWrites("writes after the crash", 50)
	w.finish()
}

// Guards against commits of a target that is cut off before it leads: the attempt is given up, the
// target is back and leads, and acknowledges commits while another upstream is promoted by what
// was known of the first attempt.
func TestNoCommitIsLostWithATargetThatIsCutOff(t *testing.T) {
	w := newPlatformRun(t, daemon(t), 1, platformGroup(1))
	w.startCallers()
	w.awaitWrites("writes", 200)
	time.Sleep(settleTime)
	w.recordEvent("upstream a is cut off")
	restoreOld := w.cutServer(w.Group, "a", w.allVMs())
	w.WaitFor("a promotion call", func() bool { return len(w.Group.PendingPromotions()) > 0 })
	target := w.Group.PendingPromotions()[0]
	w.recordEvent("promotion of %s called, which is cut off from the VMs", target)
	restore := w.upstream(target).cut(w.allVMs())
	w.WaitFor("the effect", func() bool { return w.Group.Primary() == target })
	w.recordEvent("%s leads, a is back", target)
	restoreOld()
	for end := time.Now().Add(targetCut); time.Now().Before(end) && len(w.Group.PendingPromotions()) == 0; {
		time.Sleep(time.Millisecond)
	}
	w.recordEvent("%s is back; called for %v", target, w.Group.PendingPromotions())
	restore()
	time.Sleep(settleTime)
	w.awaitWrites("writes after the change", 50)
	w.finish()
}

// recoveryTime is how long a service may take to recover from the last fault.
const recoveryTime = drainTime + drainLimit

// Guards against a service that has no primary for longer than recoveryTime, because a replica left
// at the time of a crash, although others have every commit that callers were told of; releases then
// take these away, until only empty upstreams are left.
func TestAPrimaryIsFoundAfterACrashAndADeparture(t *testing.T) {
	w := newPlatformRun(t, daemon(t), 1, platformGroup(1))
	w.startCallers()
	w.awaitWrites("writes", 200)
	w.recordEvent("c leaves, d joins")
	w.Register("c", "draining")
	w.join(w.Group, "d", "zone-c", 300*time.Millisecond)
	time.Sleep(drainTime - 500*time.Millisecond)
	w.recordEvent("a crashes")
	w.Group.Server("a").Stop()
	time.Sleep(500 * time.Millisecond)
	w.recordEvent("c ends")
	w.Group.Remove("c")
	w.Deregister("c")
	time.Sleep(2 * time.Second)
	w.recordEvent("b and d leave, e and f join; called for %v", w.Group.PendingPromotions())
	w.Register("b", "draining")
	w.Register("d", "draining")
	w.join(w.Group, "e", "zone-b", 300*time.Millisecond)
	w.join(w.Group, "f", "zone-c", 300*time.Millisecond)
	time.Sleep(time.Second)
	w.recordEvent("the entry of a lapses")
	w.Deregister("a")
	w.WaitFor("a change of primary", func() bool { return len(w.Group.Promotions()) > 0 })
	w.awaitWrites("writes after the crash", 50)
	w.finish()
	w.logChanges()
	if d := w.databases[0].withoutPrimary; d > recoveryTime {
		t.Errorf("no primary for %v", d)
	}
}

// setReceiveStopped keeps replicas from receiving commits, or no longer.
func (w *soakRun) setReceiveStopped(stopped bool, ids ...string) {
	for _, id := range ids {
		if s := w.Server(id); s != nil {
			s.SetReceiveStopped(stopped)
		}
	}
}
