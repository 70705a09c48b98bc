package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

const (
	// defaultSeries is the number of series in the run of a seed.
	defaultSeries = 2
	// seriesSpan is the time within which the events of a series begin.
	seriesSpan = 4 * time.Second
	// drainTime is how long an upstream serves after it has announced that it leaves, and
	// drainLead how much of that passes before the other events of a series begin.
	drainTime = 7 * time.Second
	drainLead = 3 * time.Second
	// silentEntryTime is after how long a silent upstream loses its registration.
	silentEntryTime = 3 * time.Second
	// maxLateness bounds how late an order or a promotion call is carried out.
	maxLateness = 8 * time.Second
)

// seriesRegressions are seeds of TestSoakSeries that failed in the past, each with the cause of
// the failure.
var seriesRegressions = []uint64{}

// Under series of overlapping faults around changes of the primary, no write that a caller saw
// acknowledged may be lost or applied twice, no refused write may be committed, no read may be
// stale, and the service has to recover. Guards against commits that are lost in slow
// promotions while primaries are cut off and come back, crash and keep their logs, replicas join
// and leave, and orders and calls are carried out late.
func TestSoakSeries(t *testing.T) {
	binary := daemon(t)
	for _, seed := range seeds(t, seriesRegressions) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeries(t, binary, seed) })
	}
}

// series draws and runs the events of a run. Each event runs in the background.
type series struct {
	*soakRun
	rng *rand.Rand
	wg  sync.WaitGroup
	// joined counts the upstreams that have joined.
	joined int
	// leaving is the upstream that is leaving, empty if none is.
	leaving string
}

// runSeries runs one seed of TestSoakSeries.
func runSeries(t *testing.T, binary string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	w := newPlatformRun(t, binary, seed, seriesGroup(seed, rng))
	s := &series{soakRun: w, rng: rng}
	w.startCallers()
	w.awaitWrites("writes", 200)
	time.Sleep(settleTime)
	for range envInt(t, "SOAK_SERIES", defaultSeries) {
		s.run()
		s.wg.Wait()
		time.Sleep(s.upTo(3 * time.Second))
	}
	w.endFaults()
	w.checkRecovery()
	w.finish()
	for _, p := range w.Group.Promotions() {
		t.Logf("%6.2f s  promotion of %s, called %v before, to term %d: %d commits kept, %d discarded",
			p.At.Sub(w.start).Seconds(), p.ID, p.At.Sub(p.CalledAt), p.Term, p.Kept, len(p.Discarded))
	}
}

// promoteDelays are the times between the call for a promotion and its effect.
var promoteDelays = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, promoteDelay, windowDelay}

// seriesGroup draws the options of the group of a seed. The platform checks fencing tokens but
// for every fourth seed.
func seriesGroup(seed uint64, rng *rand.Rand) linegroup.Options {
	o := platformGroup(seed)
	o.PromoteDelay = pickRandom(rng, promoteDelays)
	o.IgnoreTokens = seed%4 == 0
	return o
}

// upTo returns a random time below d.
func (s *series) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// between returns a random time from a to b.
func (s *series) between(a, b time.Duration) time.Duration { return a + s.upTo(b-a) }

// run starts the events of one series: one that makes a change of primary necessary, and two to
// four others. Every second series has an upstream that leaves; then the others often receive
// nothing in its last seconds.
func (s *series) run() {
	changes := []func() func(){s.cutPrimary, s.cutPrimary, s.crashPrimary, s.crashPrimary, s.stopReceipt}
	others := []func() func(){
		s.cutPrimary, s.crashPrimary, s.lateOrders, s.lateOrders, s.joinReplica, s.joinAtCall, s.joinAtCall,
		s.stopReceipt, s.stopReceipt,
		s.cutTarget, s.cutTarget, s.lapse, s.cutReplica, s.killVM, s.troubleStore,
	}
	events := []func() func(){pickRandom(s.rng, changes)}
	if s.rng.IntN(2) == 0 {
		s.leave()
		time.Sleep(drainLead)
		if s.rng.IntN(2) == 0 {
			events = append(events, s.stopReceipt)
		}
	}
	for range 2 + s.rng.IntN(3) {
		events = append(events, pickRandom(s.rng, others))
	}
	for _, draw := range events {
		event, start := draw(), s.upTo(seriesSpan)
		s.wg.Go(func() {
			time.Sleep(start)
			event()
		})
	}
}

// someVMs draws all VMs or some of them.
func (s *series) someVMs() []int {
	if s.rng.IntN(2) == 0 {
		return s.allVMs()
	}
	list := s.rng.Perm(len(s.vms))
	return list[:1+s.rng.IntN(len(list))]
}

// cutPrimary cuts the primary off from VMs and from replicas. It is back after a time, or shortly
// after its successor is called for; then a replica may join.
func (s *series) cutPrimary() func() {
	vms, d, untilCall := s.someVMs(), s.between(time.Second, 3500*time.Millisecond), s.rng.IntN(2) == 0
	after := s.upTo(400 * time.Millisecond)
	join := func() {}
	if untilCall && s.rng.IntN(2) == 0 {
		join = s.joinWithin(100 * time.Millisecond)
	}
	return func() {
		id := s.Group.Primary()
		if id == "" {
			return
		}
		s.recordEvent("primary %s is cut off from the VMs %v and the replicas", id, vms)
		restore := s.cutServer(id, vms)
		if untilCall {
			s.awaitCall(2 * d)
			time.Sleep(after)
		} else {
			time.Sleep(d)
		}
		s.recordEvent("upstream %s is back; called for %v", id, s.Group.PendingPromotions())
		restore()
		join()
	}
}

// crashPrimary stops the primary for a while. It keeps its log, and loses its registration if it
// is down for long.
func (s *series) crashPrimary() func() {
	d := s.between(500*time.Millisecond, 3*time.Second)
	if s.rng.IntN(2) == 0 {
		d = s.between(5*time.Second, 10*time.Second)
	}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == id {
		return "draining"
	}
	return "ready"
}

// lateOrders makes a share of orders and promotion calls late.
func (s *series) lateOrders() func() {
	l := linegroup.Lateness{Share: 0.3 + 0.6*s.rng.Float64(), Min: time.Second, Max: maxLateness}
	d := s.between(time.Second, 4*time.Second)
	return func() {
		s.recordEvent("%.0f%% of the orders and calls of the next %v are late", 100*l.Share, d)
		l.Until = time.Now().Add(d)
		s.Group.SetLateness(l)
	}
}

// joinReplica adds a replica, which registers shortly after.
func (s *series) joinReplica() func() { return s.joinWithin(1500 * time.Millisecond) }

// joinWithin adds a replica, which registers within limit.
func (s *series) joinWithin(limit time.Duration) func() {
	s.joined++
	id, zone, d := fmt.Sprint("j", s.joined), pickRandom(s.rng, []string{"zone-a", "zone-b", "zone-c"}), s.upTo(limit)
	return func() {
		s.recordEvent("upstream %s joins in %s and registers after %v", id, zone, d)
		s.join(id, zone, d)
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

// leave makes an upstream leave: it announces that, another one joins, and drainTime later it is
// gone with its log. Its registration is removed then or later.
func (s *series) leave() {
	ids := s.Group.Servers()
	id := pickRandom(s.rng, ids)
	if s.rng.IntN(3) == 0 && s.Group.Primary() != "" {
		id = s.Group.Primary()
	}
	successor, linger := s.joinReplica(), s.upTo(silentEntryTime)
	s.mu.Lock()
	s.leaving = id
	s.mu.Unlock()
	s.recordEvent("upstream %s leaves", id)
	s.Register(id, "draining")
	s.wg.Go(func() {
		successor()
		time.Sleep(drainTime)
		s.recordEvent("upstream %s is gone", id)
		s.Group.Remove(id)
		s.upstream(id).reset()
		time.Sleep(linger)
		s.Deregister(id)
		s.mu.Lock()
		s.leaving = ""
		s.mu.Unlock()
	})
}

// stopReceipt keeps most replicas from receiving commits for a while: all but a random one, or
// all that are not leaving.
func (s *series) stopReceipt() func() {
	d, spared, spareLeaving := s.between(2*time.Second, 6*time.Second), s.rng.IntN(4), s.rng.IntN(4) > 0
	return func() {
		var ids []string
		for i, id := range s.Group.Servers() {
			receives := i == spared
			if spareLeaving {
				receives = s.phase(id) == "draining"
			}
			if !receives && id != s.Group.Primary() {
				ids = append(ids, id)
			}
		}
		s.recordEvent("upstreams %v receive nothing for %v", ids, d)
		s.setReceiveStopped(true, ids...)
		time.Sleep(d)
		s.setReceiveStopped(false, ids...)
	}
}

// lapse removes the registration of an upstream for a while.
func (s *series) lapse() func() {
	id, d := pickRandom(s.rng, s.Group.Servers()), s.between(500*time.Millisecond, 4*time.Second)
	return func() {
		s.recordEvent("the registration of %s lapses for %v", id, d)
		s.Deregister(id)
		time.Sleep(d)
		s.Register(id, s.phase(id))
	}
}

// cutReplica cuts an upstream off from some VMs.
func (s *series) cutReplica() func() {
	id, vms, d := pickRandom(s.rng, s.Group.Servers()), s.someVMs(), s.between(time.Second, 5*time.Second)
	return func() {
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
