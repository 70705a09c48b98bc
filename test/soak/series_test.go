package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
)

const (
	// defaultSeries is the number of series at each group in the run of a seed.
	defaultSeries = 2
	// seriesGroups is the number of groups, and seriesCallers that of the callers of each VM and
	// group.
	seriesGroups  = 3
	seriesCallers = 2
	// seriesPause is the time between the requests of a caller.
	seriesPause = 40 * time.Millisecond
	// seriesSpan is the time within which the events of a series begin.
	seriesSpan = 4 * time.Second
	// seriesRest bounds how long a series waits for writes at its group after the one before.
	seriesRest = 6 * time.Second
	// drainTime is how long an upstream serves after it has announced that it leaves.
	drainTime = 7 * time.Second
	// drainLimit bounds how much longer an upstream serves that alone has what its log had when it
	// announced that it leaves. A service has to recover within drainTime and drainLimit.
	drainLimit = 5 * time.Second
	// silentEntryTime is after how long a silent upstream loses its registration.
	silentEntryTime = 3 * time.Second
	// maxLateness bounds how late an order or a promotion call is carried out, and longLateness does
	// in some series.
	maxLateness  = 3 * time.Second
	longLateness = 8 * time.Second
	// maxMembers is the number of upstreams of a group up to which others join.
	maxMembers = 6
)

// seriesRegressions are seeds of TestSoakSeries that failed in the past, each with the cause of
// the failure.
var seriesRegressions = []uint64{}

// Under series of overlapping faults around changes of the primary at three groups, no write that a
// caller saw acknowledged may be lost or applied twice, no upstream may be promoted without such
// writes, no refused write may be committed, no read may be stale, and the service has to recover.
// Guards against commits that are lost in slow promotions while primaries are cut off and come back,
// crash and keep their logs, replicas join and leave, all upstreams are replaced, and orders and
// calls are carried out late.
func TestSoakSeries(t *testing.T) {
	binary := daemon(t)
	for _, seed := range seeds(t, seriesRegressions) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeries(t, binary, seed) })
	}
}

// series draws and runs the events of a run at one group. Each event runs in the background.
type series struct {
	*soakRun
	*database
	Group *linegroup.Group
	rng   *rand.Rand
	wg    sync.WaitGroup
	// removals counts the upstreams that are leaving.
	removals sync.WaitGroup
	// leaving has the upstreams that are leaving; mu of the soakRun guards it.
	leaving map[string]bool
	// joined counts the upstreams that have joined.
	joined int
}

// runSeries runs one seed of TestSoakSeries.
func runSeries(t *testing.T, binary string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	var options []linegroup.Options
	for i := range seriesGroups {
		options = append(options, seriesGroup(seed, uint64(i), rng))
	}
	w := newPlatformRun(t, binary, seed, options...)
	w.callers, w.pause = seriesCallers, seriesPause
	w.startCallers()
	w.awaitWrites("writes", 200)
	time.Sleep(settleTime)
	n := envInt(t, "SOAK_SERIES", defaultSeries)
	var all sync.WaitGroup
	for i, d := range w.databases {
		s := &series{
			soakRun: w, database: d, Group: d.group, rng: rand.New(rand.NewPCG(seed, 100+uint64(i))), leaving: map[string]bool{},
		}
		stagger := time.Duration(rng.Int64N(int64(seriesSpan)))
		all.Go(func() {
			time.Sleep(stagger)
			s.runAll(n)
		})
	}
	all.Wait()
	w.endFaults()
	w.checkRecovery()
	w.finish()
	w.logChanges()
}

// logChanges logs the changes of primary of each group, and the longest times in which it had none and
// in which no write was acknowledged.
func (w *soakRun) logChanges() {
	for _, d := range w.databases {
		pause, from := w.LongestPause(d.group, w.start.Add(settleTime))
		promotions := d.group.Promotions()
		w.t.Logf("%s: %d changes of primary; longest time without a running primary %v, without an acknowledged write %v, from %.2f s on",
			d.group.Service(), len(promotions), d.withoutPrimary.Round(time.Millisecond), pause.Round(time.Millisecond), from.Sub(w.start).Seconds())
		for _, p := range promotions {
			w.t.Logf("%6.2f s  promotion of %s, called %v before, to term %d: %d commits kept, %d discarded, longer logs at %v",
				p.At.Sub(w.start).Seconds(), p.ID, p.At.Sub(p.CalledAt), p.Term, p.Kept, len(p.Discarded), p.Ahead)
		}
	}
}

// promoteDelays are the times between the call for a promotion and its effect.
var promoteDelays = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, promoteDelay, windowDelay}

// seriesGroup draws the options of a group of a seed. The platform checks fencing tokens but
// for every fourth seed.
func seriesGroup(seed, i uint64, rng *rand.Rand) linegroup.Options {
	o := platformGroup(seed + i<<32)
	o.PromoteDelay = pickRandom(rng, promoteDelays)
	o.IgnoreTokens = seed%4 == 0
	return o
}

// upTo returns a random time below d.
func (s *series) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// between returns a random time from a to b.
func (s *series) between(a, b time.Duration) time.Duration { return a + s.upTo(b-a) }

// chance returns true with a probability of n in m.
func (s *series) chance(n, m int) bool { return s.rng.IntN(m) < n }

// event is what happens at a time after the start of a series.
type event struct {
	at  time.Duration
	run func()
}

// runAll runs n series. The next one begins when the events of the last one, apart from the end of
// upstreams that leave, are over and the group serves again, or after seriesRest.
func (s *series) runAll(n int) {
	shapes := []func() []event{
		s.slowChange, s.slowChange, s.slowChange, s.leavingProof, s.leavingProof, s.rollingRelease, s.rollingRelease, s.mixed, s.mixed,
	}
	for range n {
		for _, e := range pickRandom(s.rng, shapes)() {
			s.wg.Go(func() {
				time.Sleep(e.at)
				e.run()
			})
		}
		s.wg.Wait()
		served := s.served.Load()
		for end := time.Now().Add(seriesRest); time.Now().Before(end) && s.served.Load() < served+50; {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(s.upTo(time.Second))
	}
	s.removals.Wait()
}

// others draws up to n events that are not aimed at a certain change.
func (s *series) others(n int) []event {
	draws := []func() func(){
		s.cutPrimary, s.crashPrimary, s.lateOrders, s.joinReplica, s.joinAtCall, s.stopReceipt, s.cutTarget, s.lapse, s.cutReplica,
		s.killVM, s.stopVM, s.pauseVMOnce, s.reload, s.reconfigure, s.troublePeers, s.troubleStore, s.leave,
	}
	var list []event
	for range s.rng.IntN(n + 1) {
		list = append(list, event{s.upTo(seriesSpan), pickRandom(s.rng, draws)()})
	}
	return list
}

// slowChange has a change of primary whose call is often late, while the old primary is back and
// a replica joins.
func (s *series) slowChange() []event {
	list := []event{{0, s.lateCalls()}, {s.between(100*time.Millisecond, time.Second), s.cutPrimaryUntilCall()}}
	if s.chance(1, 3) {
		list = append(list, event{s.upTo(time.Second), s.stopReceipt()})
	}
	if s.chance(1, 3) {
		list = append(list, event{s.upTo(time.Second), s.leave()})
	}
	return append(list, s.others(2)...)
}

// leavingProof has an upstream that leaves and, as the only replica, receives commits in its last
// seconds, and a primary that crashes or is cut off near its end.
func (s *series) leavingProof() []event {
	lead := s.between(time.Second, 3*time.Second)
	list := []event{
		{0, s.leaveReplica()},
		{drainTime - lead, s.stopReceiptOfStaying(lead + s.between(time.Second, 4*time.Second))},
	}
	change := s.crashPrimaryFor(s.between(6*time.Second, 10*time.Second))
	if s.chance(1, 3) {
		change = s.cutPrimary()
	}
	list = append(list, event{drainTime - s.upTo(lead), change})
	if s.chance(1, 3) {
		list = append(list, event{drainTime - lead, s.lateCalls()})
	}
	return append(list, s.others(2)...)
}

// rollingRelease replaces all upstreams one after the other, often while a call that was not
// answered is pending, and has changes of primary beside the ones that this causes.
func (s *series) rollingRelease() []event {
	gap := s.between(400*time.Millisecond, 1500*time.Millisecond)
	list := []event{{0, s.release(gap, s.chance(1, 2))}}
	if s.chance(3, 4) {
		list = append(list, event{0, s.lateCalls()})
	}
	change := pickRandom(s.rng, []func() func(){s.crashPrimary, s.crashPrimary, s.cutPrimaryUntilCall, s.cutPrimary, s.cutTarget})
	list = append(list, event{s.upTo(2 * time.Second), change()})
	if s.chance(1, 2) {
		list = append(list, event{s.upTo(seriesSpan), s.stopReceipt()})
	}
	return append(list, s.others(2)...)
}

// mixed has one event that makes a change of primary necessary, and two to four others.
func (s *series) mixed() []event {
	changes := []func() func(){s.cutPrimary, s.cutPrimaryUntilCall, s.crashPrimary, s.crashPrimary, s.stopReceipt}
	draws := []func() func(){
		s.cutPrimary, s.crashPrimary, s.lateOrders, s.lateOrders, s.joinReplica, s.joinAtCall, s.joinAtCall,
		s.stopReceipt, s.stopReceipt, s.cutTarget, s.cutTarget, s.lapse, s.cutReplica, s.killVM, s.troubleStore, s.leave,
	}
	list := []event{{s.upTo(seriesSpan), pickRandom(s.rng, changes)()}}
	for range 2 + s.rng.IntN(3) {
		list = append(list, event{s.upTo(seriesSpan), pickRandom(s.rng, draws)()})
	}
	return list
}

// someVMs draws all VMs or some of them.
func (s *series) someVMs() []int {
	if s.chance(1, 2) {
		return s.allVMs()
	}
	list := s.rng.Perm(len(s.vms))
	return list[:1+s.rng.IntN(len(list))]
}

// cutPrimary cuts the primary off from VMs and from replicas for a time.
func (s *series) cutPrimary() func() {
	vms, d := s.someVMs(), s.between(time.Second, 3500*time.Millisecond)
	return func() {
		id := s.Group.Primary()
		if id == "" {
			return
		}
		s.recordEvent("primary %s is cut off from the VMs %v and the replicas for %v", id, vms, d)
		restore := s.cutServer(s.Group, id, vms)
		time.Sleep(d)
		s.recordEvent("upstream %s is back; called for %v", id, s.Group.PendingPromotions())
		restore()
	}
}

// cutPrimaryUntilCall is cutPrimary until shortly after the successor is called for. Then a replica
// often joins.
func (s *series) cutPrimaryUntilCall() func() {
	vms, after := s.allVMs(), s.upTo(400*time.Millisecond)
	if s.chance(1, 4) {
		vms = s.someVMs()
	}
	join := func() {}
	if s.chance(3, 4) {
		join = s.joinWithin(100 * time.Millisecond)
	}
	return func() {
		id := s.Group.Primary()
		if id == "" {
			return
		}
		s.recordEvent("primary %s is cut off from the VMs %v and the replicas until a call", id, vms)
		restore := s.cutServer(s.Group, id, vms)
		s.awaitCall(6 * time.Second)
		time.Sleep(after)
		s.recordEvent("upstream %s is back; called for %v", id, s.Group.PendingPromotions())
		restore()
		join()
	}
}

// crashPrimary stops the primary for a while. It keeps its log, and loses its registration if it
// is down for long.
func (s *series) crashPrimary() func() {
	d := s.between(500*time.Millisecond, 3*time.Second)
	if s.chance(1, 2) {
		d = s.between(5*time.Second, 10*time.Second)
	}
	return s.crashPrimaryFor(d)
}

// crashPrimaryFor is crashPrimary for d.
func (s *series) crashPrimaryFor(d time.Duration) func() {
	return func() {
		id := s.Group.Primary()
		server := s.Group.Server(id)
		if server == nil || server.Stopped() {
			return
		}
		s.recordEvent("primary %s crashes for %v", id, d)
		server.Stop()
		s.upstream(id).reset()
		time.Sleep(min(d, silentEntryTime))
		if d > silentEntryTime {
			s.Deregister(id)
			time.Sleep(d - silentEntryTime)
		}
		if s.Group.Server(id) != server {
			return
		}
		s.recordEvent("upstream %s is back with its log", id)
		if err := server.Start(); err != nil {
			s.t.Error(err)
		}
		s.Register(id, s.phase(id))
	}
}

// phase returns the phase that an upstream reports.
func (s *series) phase(id string) string {
	if s.isLeaving(id) {
		return "draining"
	}
	return "ready"
}

// isLeaving reports whether an upstream has announced that it leaves.
func (s *series) isLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[id]
}

// lateOrders makes a share of orders and promotion calls late.
func (s *series) lateOrders() func() {
	l := linegroup.Lateness{Share: 0.3 + 0.6*s.rng.Float64(), Min: 200 * time.Millisecond}
	kind := s.rng.IntN(3)
	l.SpareOrders, l.SpareCalls = kind == 1, kind == 2
	return s.late(l, s.between(time.Second, 4*time.Second))
}

// lateCalls makes most or all promotion calls late for the time of a change of primary, at times
// the orders as well.
func (s *series) lateCalls() func() {
	l := linegroup.Lateness{Share: 0.6 + 0.4*s.rng.Float64(), Min: 500 * time.Millisecond, SpareOrders: s.chance(3, 4)}
	return s.late(l, s.between(3*time.Second, 6*time.Second))
}

// late puts l into effect for d.
func (s *series) late(l linegroup.Lateness, d time.Duration) func() {
	l.Max = maxLateness
	if s.chance(1, 6) {
		l.Max = longLateness
	}
	return func() {
		s.recordEvent("%.0f%% of the orders (spared: %v) and calls (spared: %v) of %s in the next %v are up to %v late",
			100*l.Share, l.SpareOrders, l.SpareCalls, s.Group.Service(), d, l.Max)
		l.Until = time.Now().Add(d)
		s.Group.SetLateness(l)
	}
}

// joinReplica adds a replica, which registers shortly after.
func (s *series) joinReplica() func() { return s.joinWithin(1500 * time.Millisecond) }

// joinWithin adds a replica, which registers within limit, unless the group has maxMembers.
func (s *series) joinWithin(limit time.Duration) func() {
	join := s.replacement(limit)
	return func() {
		if len(s.Group.Servers()) < maxMembers {
			join()
		}
	}
}

// replacement adds a replica, which registers within limit.
func (s *series) replacement(limit time.Duration) func() {
	s.joined++
	id, zone, d := fmt.Sprint("j", s.joined, s.suffix), pickRandom(s.rng, []string{"zone-a", "zone-b", "zone-c"}), s.upTo(limit)
	return func() {
		s.recordEvent("upstream %s joins in %s and registers after %v", id, zone, d)
		s.join(s.Group, id, zone, d)
		s.recordEvent("upstream %s begins with %d commits", id, s.Group.Server(id).Received())
	}
}

// joinAtCall is joinReplica at a time at which a promotion is called and has not taken effect, or
// 6 s later.
func (s *series) joinAtCall() func() {
	join, after := s.joinWithin(100*time.Millisecond), s.upTo(200*time.Millisecond)
	return func() {
		s.awaitCall(6 * time.Second)
		time.Sleep(after)
		join()
	}
}

// awaitCall waits until a promotion is called that has not taken effect, for d at most.
func (s *series) awaitCall(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && len(s.Group.PendingPromotions()) == 0; {
		time.Sleep(time.Millisecond)
	}
}

// leave makes an upstream leave, the primary more often than others, if none is leaving.
func (s *series) leave() func() {
	n, primary, step := s.rng.IntN(maxMembers), s.chance(1, 3), s.replace()
	return func() {
		staying := s.staying()
		if len(staying) == 0 || len(staying) < len(s.Group.Servers()) {
			return
		}
		id := staying[n%len(staying)]
		if p := s.Group.Primary(); primary && p != "" {
			id = p
		}
		step(id)
	}
}

// leaveReplica is leave for a replica.
func (s *series) leaveReplica() func() {
	n, step := s.rng.IntN(maxMembers), s.replace()
	return func() {
		staying := slices.DeleteFunc(s.staying(), func(id string) bool { return id == s.Group.Primary() })
		if len(staying) > 0 {
			step(staying[n%len(staying)])
		}
	}
}

// release replaces all upstreams of the group that stay one after the other, at intervals of gap.
// If afterCall is true, it begins when a promotion is called, or after seriesSpan.
func (s *series) release(gap time.Duration, afterCall bool) func() {
	order := s.rng.Perm(maxMembers + 1)
	var steps []func(id string)
	for range order {
		steps = append(steps, s.replace())
	}
	return func() {
		if afterCall {
			s.awaitCall(seriesSpan)
		}
		staying := s.staying()
		s.recordEvent("release of %v, called for %v", staying, s.Group.PendingPromotions())
		for i, at := range order {
			if at < len(staying) {
				steps[i](staying[at])
				time.Sleep(gap)
			}
		}
	}
}

// staying returns the upstreams that have not announced that they leave.
func (s *series) staying() []string {
	return slices.DeleteFunc(s.Group.Servers(), s.isLeaving)
}

// replace makes an upstream leave: it announces that, another one joins, and drainTime later it is
// gone with its log. Its registration is removed then or later.
func (s *series) replace() func(id string) {
	successor, more, linger := s.replacement(1500*time.Millisecond), s.upTo(time.Second), s.upTo(silentEntryTime)
	return func(id string) {
		s.mu.Lock()
		announcedBefore := s.leaving[id]
		s.leaving[id] = true
		s.mu.Unlock()
		if announcedBefore {
			return
		}
		announced := model.LogPos(len(s.Group.Log()))
		s.recordEvent("upstream %s leaves, as do %v", id, slices.DeleteFunc(s.Group.Servers(), func(id string) bool { return !s.isLeaving(id) }))
		s.Register(id, "draining")
		successor()
		s.removals.Go(func() {
			time.Sleep(drainTime + more)
			s.awaitOtherLog(id, announced)
			s.recordEvent("upstream %s is gone; it had %d commits", id, s.Group.Server(id).Received())
			s.Group.Remove(id)
			s.upstream(id).reset()
			time.Sleep(linger)
			s.Deregister(id)
		})
	}
}

// awaitOtherLog waits until an upstream that stays has the commits up to number, for drainLimit at
// most: without these, no order of promotions could keep them.
func (s *series) awaitOtherLog(id string, number model.LogPos) {
	held := func() bool {
		holders := s.Group.Holders(min(number, model.LogPos(len(s.Group.Log()))))
		return slices.ContainsFunc(holders, func(other string) bool { return !s.isLeaving(other) })
	}
	start := time.Now()
	for !held() {
		if time.Since(start) > drainLimit {
			s.recordEvent("no upstream that stays has the log that %s had when it announced that it leaves", id)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	if d := time.Since(start); d > 40*time.Millisecond {
		s.recordEvent("upstream %s served %v longer, until its log was at another one", id, d)
	}
}

// stopReceipt keeps most replicas from receiving commits for a while: all but a random one, or
// all that are not leaving.
func (s *series) stopReceipt() func() {
	d, spared, spareLeaving := s.between(2*time.Second, 6*time.Second), s.rng.IntN(4), s.rng.IntN(4) > 0
	return func() {
		s.stopReceiptOf(d, func(i int, id string) bool {
			if spareLeaving {
				return !s.isLeaving(id)
			}
			return i != spared
		})
	}
}

// stopReceiptOfStaying keeps the replicas that are not leaving from receiving commits for d.
func (s *series) stopReceiptOfStaying(d time.Duration) func() {
	return func() { s.stopReceiptOf(d, func(_ int, id string) bool { return !s.isLeaving(id) }) }
}

// stopReceiptOf keeps the selected replicas from receiving commits for d.
func (s *series) stopReceiptOf(d time.Duration, selects func(i int, id string) bool) {
	var ids []string
	for i, id := range s.Group.Servers() {
		if selects(i, id) && id != s.Group.Primary() {
			ids = append(ids, id)
		}
	}
	s.recordEvent("upstreams %v receive nothing for %v", ids, d)
	s.setReceiveStopped(true, ids...)
	time.Sleep(d)
	s.setReceiveStopped(false, ids...)
}

// lapse removes the registration of an upstream for a while.
func (s *series) lapse() func() {
	n, d := s.rng.IntN(maxMembers), s.between(500*time.Millisecond, 4*time.Second)
	return func() {
		ids := s.Group.Servers()
		id := ids[n%len(ids)]
		s.recordEvent("the registration of %s lapses for %v", id, d)
		s.Deregister(id)
		time.Sleep(d)
		s.Register(id, s.phase(id))
	}
}

// cutReplica cuts an upstream off from some VMs.
func (s *series) cutReplica() func() {
	n, vms, d := s.rng.IntN(maxMembers), s.someVMs(), s.between(time.Second, 5*time.Second)
	return func() {
		ids := s.Group.Servers()
		id := ids[n%len(ids)]
		s.recordEvent("upstream %s is cut off from the VMs %v for %v", id, vms, d)
		restore := s.upstream(id).cut(vms)
		time.Sleep(d)
		restore()
	}
}

// cutTarget cuts the target of a promotion off from some VMs when it is called for.
func (s *series) cutTarget() func() {
	vms, d := s.someVMs(), s.between(time.Second, 6*time.Second)
	return func() {
		s.awaitCall(6 * time.Second)
		for _, id := range s.Group.PendingPromotions() {
			s.recordEvent("target %s is cut off from the VMs %v for %v", id, vms, d)
			restore := s.upstream(id).cut(vms)
			defer restore()
		}
		time.Sleep(d)
	}
}

// killVM kills a VM and starts it again.
func (s *series) killVM() func() {
	v, d := pickRandom(s.rng, s.vms), s.upTo(time.Second)
	return func() {
		s.recordEvent("%s killed (SIGKILL), and restarted after %v", v.settings, d)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.kill()
		time.Sleep(d)
		v.start()
	}
}

// stopVM stops a VM with SIGTERM and starts it again.
func (s *series) stopVM() func() {
	v := pickRandom(s.rng, s.vms)
	return func() {
		s.recordEvent("%s stopped gracefully and restarted", v.settings)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.stop()
		v.start()
	}
}

// pauseVMOnce freezes the process of a VM for a while.
func (s *series) pauseVMOnce() func() {
	v, d := pickRandom(s.rng, s.vms), s.between(200*time.Millisecond, 2500*time.Millisecond)
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		s.pauseVM(v, d)
	}
}

// reload sends SIGHUP to a VM.
func (s *series) reload() func() {
	v := pickRandom(s.rng, s.vms)
	return func() {
		s.recordEvent("%s received SIGHUP", v.settings)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.signal(syscall.SIGHUP)
	}
}

// reconfigure writes a new version of the configuration.
func (s *series) reconfigure() func() {
	return func() {
		s.recordEvent("configuration changed")
		s.Configure(linetest.Key)
	}
}

// troublePeers puts the link through which others reach a VM into a random mode for a while.
func (s *series) troublePeers() func() {
	v, m, d := pickRandom(s.rng, s.vms), mode(1+s.rng.IntN(int(modeCount)-1)), s.between(200*time.Millisecond, 2*time.Second)
	return func() {
		s.recordEvent("link to peers of %s in mode %d for %v", v.settings, m, d)
		v.peers.setMode(m)
		time.Sleep(d)
		v.peers.setMode(pass)
	}
}

// troubleStore injects a fault of the store or of the link to it.
func (s *series) troubleStore() func() {
	kind, m, d := s.rng.IntN(3), mode(1+s.rng.IntN(int(modeCount)-1)), s.between(200*time.Millisecond, 2*time.Second)
	return func() {
		switch kind {
		case 0:
			s.recordEvent("link to store in mode %d for %v", m, d)
			s.store.setMode(m)
			time.Sleep(d)
			s.store.setMode(pass)
		case 1:
			s.recordEvent("leases of the store expired")
			s.Store.ExpireLeases()
		case 2:
			s.recordEvent("next 3 answers of the store lost")
			s.Store.LoseAnswers.Store(3)
		}
	}
}
