// Package soak runs daemons that speak the line protocol as processes against
// stand-ins, injects random faults from outside the processes, and checks what callers
// and upstreams observe.
//
// By default it runs seed 1 and the seeds of regressions. Environment variables change
// this:
//
//   - SOAK_SEED=7 runs seed 7 in place of these.
//   - SOAK_SEEDS=50 runs 50 further seeds, from 2 on.
//   - SOAK_VMS sets the number of daemons.
//   - SOAK_SERIES sets the number of series in each run of TestSoakSeries.
//   - SOAK_BINARY is the path of a daemon that is already built.
//   - SOAK_KEEP is a directory to which the logs of a failed run are copied.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/test/linetest"
	"github.com/chervilhatch/chervilhatch/test/ports"
	"github.com/chervilhatch/chervilhatch/test/procsocket"
)

const (
	defaultVMs = 4
	// strictDatabase is the database of a route whose reads see every commit.
	strictDatabase = "strict"
	// callersPerVM is the number of concurrent callers of each VM and group.
	callersPerVM = 4
	// requestPause is the time between the requests of a caller.
	requestPause = 3 * time.Millisecond
	// faultDuration is how long faults are injected.
	faultDuration = 8 * time.Second
	// reconnectDelay is the pause before a caller replaces a broken session.
	reconnectDelay = 20 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer before it abandons its
	// session.
	answerTimeout = 4 * time.Second
	// revocationTimeout bounds how long a withdrawn key may still be accepted by a VM
	// that receives the change.
	revocationTimeout = 4 * time.Second
)

// regressions are seeds that failed in the past, each with the cause of the failure.
var regressions = []uint64{
	// A VM did not become ready at the start, before any fault: another soak that
	// ran at the same time took the port that had been found for it (see package
	// ports).
	44,
}

// envInt returns the integer in an environment variable, or fallback if it is unset.
func envInt(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Under overlapping faults, acknowledged writes must not be lost, writes must not be
// applied twice, refused writes must not be committed, sessions must see their own
// writes, and the service has to recover after the faults.
func TestSoak(t *testing.T) {
	binary := daemon(t)
	for _, seed := range seeds(t, regressions) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// seeds returns the seeds to run: 1 and the regressions, unless environment variables change this.
func seeds(t *testing.T, regressions []uint64) []uint64 {
	list := append([]uint64{1}, regressions...)
	if one := envInt(t, "SOAK_SEED", 0); one > 0 {
		list = []uint64{uint64(one)}
	}
	for i := range envInt(t, "SOAK_SEEDS", 0) {
		list = append(list, uint64(i+2))
	}
	return list
}

// buildDaemon builds chervilhatchd and returns its path.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "chervilhatchd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/chervilhatchd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// soakRun is the run of one seed.
type soakRun struct {
	*linetest.Platform
	t         *testing.T
	rng       *rand.Rand
	vms       []*vm
	store     *link
	outcomes  *linetest.Outcomes
	databases []*database
	// callers is the number of callers of each VM and group, and pause the time between the
	// requests of each.
	callers  int
	pause    time.Duration
	stopping atomic.Bool
	// brokenSessions counts the sessions that ended while waiting for an answer.
	brokenSessions atomic.Int64
	wg             sync.WaitGroup
	start          time.Time

	// mu guards the fields below.
	mu        sync.Mutex
	upstreams map[string]*link
	// events lists the injected faults with their times. It is logged if the run
	// fails.
	events []string
}

// database is a group with its callers.
type database struct {
	group *linegroup.Group
	// suffix is the end of the names of its databases and upstreams.
	suffix string
	// served counts the writes that its callers saw acknowledged.
	served atomic.Int64
	// withoutPrimary is the longest time in which no primary was running.
	withoutPrimary time.Duration
}

// seedGroup returns the options of the database group in the run of a seed.
func seedGroup(seed uint64) linegroup.Options {
	return linegroup.Options{
		ConnectionLimit: 40, Slots: 4, Work: time.Millisecond, Lag: 5 * time.Millisecond, Address: ports.Free,
		FormerPrimaryServes: true, YieldAfter: time.Second, IgnoreTokens: seed%2 == 0,
	}
}

// newRun starts the stand-ins and the daemons of a run, with a group for each of options, and waits
// until all are ready.
func newRun(t *testing.T, binary string, seed uint64, options ...linegroup.Options) *soakRun {
	w := &soakRun{
		Platform: linetest.NewPlatform(t, options[0]),
		t:        t, rng: rand.New(rand.NewPCG(seed, 3)), upstreams: map[string]*link{}, outcomes: linetest.NewOutcomes(),
		callers: callersPerVM, pause: requestPause, start: time.Now(),
	}
	for _, o := range options[1:] {
		w.AddGroup(o)
	}
	dir := t.TempDir()
	// The logs are read before the directory is removed.
	t.Cleanup(func() {
		if t.Failed() {
			w.logEvents()
		}
	})
	for i, g := range w.Groups {
		w.databases = append(w.databases, &database{group: g, suffix: linetest.Suffix(i)})
		for _, id := range g.Servers() {
			w.addLink(id)
		}
	}
	w.store = newLink(t, w.Store.Address)
	w.Address = func(id string) string { return w.upstream(id).address() }
	w.Setup()
	for i := range envInt(t, "SOAK_VMS", defaultVMs) {
		w.vms = append(w.vms, newVM(t, binary, dir, i, w.store.address(), !options[0].IgnoreTokens))
	}
	for _, v := range w.vms {
		v.start()
	}
	w.WaitFor("all VMs ready", w.allReady)
	return w
}

// addLink starts the link through which VMs connect to an upstream.
func (w *soakRun) addLink(id string) {
	k := newLink(w.t, w.Server(id).Address)
	k.clientOf = w.clientOf
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams[id] = k
}

// upstream returns the link to an upstream.
func (w *soakRun) upstream(id string) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[id]
}

// clientOf returns the index of the VM that has opened a connection, or -1.
func (w *soakRun) clientOf(conn net.Conn) int {
	inode := procsocket.PeerInode(conn)
	for i, v := range w.vms {
		if inode != "" && procsocket.HasSocket(int(v.pid.Load()), inode) {
			return i
		}
	}
	return -1
}

// allVMs returns the indexes of all VMs.
func (w *soakRun) allVMs() []int {
	var list []int
	for i := range w.vms {
		list = append(list, i)
	}
	return list
}

// startCallers starts the callers of each group on each VM. The first of them read what is strict.
func (w *soakRun) startCallers() {
	for _, v := range w.vms {
		for _, d := range w.databases {
			for i := range w.callers {
				w.wg.Go(func() { w.runCaller(v, d, i == 0) })
			}
		}
	}
}

// finish ends the callers and checks what they saw, once all promotions that were called for
// have taken effect.
func (w *soakRun) finish() {
	w.t.Helper()
	w.WaitFor("the effect of the promotion calls", func() bool {
		for _, g := range w.Groups {
			if len(g.PendingPromotions()) > 0 {
				return false
			}
		}
		return true
	})
	w.stopping.Store(true)
	w.wg.Wait()
	w.outcomes.Check(w.Platform)
	commits := 0
	for _, g := range w.Groups {
		commits += len(g.Log())
	}
	w.t.Logf("%d faults, %d broken sessions, outcomes %v, %d commits", len(w.events), w.brokenSessions.Load(), w.outcomes.Codes(), commits)
}

// runSeed starts the daemons and callers, injects faults for faultDuration and checks
// recovery and the outcomes.
func runSeed(t *testing.T, binary string, seed uint64) {
	w := newRun(t, binary, seed, seedGroup(seed))
	w.startCallers()
	if seed%3 == 1 {
		w.recordEvent("the store comes back from a copy in the middle of the run")
		w.wg.Go(w.restoreStore)
	}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		w.injectFault()
	}
	w.endFaults()
	w.checkRecovery()
	w.checkUsage()
	w.finish()
}

func (w *soakRun) allReady() bool {
	for _, v := range w.vms {
		if !v.isReady() {
			return false
		}
	}
	return true
}

// runCaller runs sessions on a VM until the run ends. It replaces a session only when
// it breaks.
func (w *soakRun) runCaller(v *vm, d *database, strict bool) {
	name := "own"
	if strict {
		name = strictDatabase
	}
	for !w.stopping.Load() {
		c, m, err := linetest.TryConnect(w.t, v.callers, "STARTUP "+name+d.suffix+" "+linetest.Key)
		if err != nil || m.Word != lineproto.Ready {
			if c != nil {
				_ = c.Conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.Timeout = answerTimeout
		if !w.runSession(c, d, strict) {
			w.brokenSessions.Add(1)
			time.Sleep(reconnectDelay)
		}
		_ = c.Conn.Close()
	}
}

// runSession sends requests until the session breaks or the run ends. It returns false
// if the session broke.
func (w *soakRun) runSession(c *linetest.Caller, d *database, strict bool) bool {
	for i := 0; !w.stopping.Load(); i++ {
		if i%3 == 0 {
			last, ids := c.Transaction()
			w.recordWrites(d, &last, ids)
			if last.Broken {
				return false
			}
			// Longer pauses are those of more groups than one, whose callers share the machine.
			if w.pause > requestPause {
				time.Sleep(w.pause)
			}
			continue
		}
		r := c.Query("WRITE item data")
		w.recordWrites(d, &r, []string{r.ID})
		if r.Broken || !w.checkRead(c, d, &r) || strict && !w.checkStrictRead(c, d) {
			return false
		}
		time.Sleep(w.pause)
	}
	return true
}

// recordWrites records the outcome of writes.
func (w *soakRun) recordWrites(d *database, last *linetest.Result, ids []string) {
	w.outcomes.Record(last, ids)
	if last.OK() {
		d.served.Add(1)
	}
}

// checkRead checks that a read sees the session's preceding write. It returns false if
// the session broke.
func (w *soakRun) checkRead(c *linetest.Caller, d *database, write *linetest.Result) bool {
	r := c.Query("READ item")
	if position := d.group.NumberOf(write.ID); r.OK() && write.OK() && r.CommitsSeen() < position {
		w.t.Errorf("stale read %s: saw %d commits after commit %d of its session", r.ID, r.CommitsSeen(), position)
	}
	return !r.Broken
}

// checkStrictRead checks that a read on the strict route sees every commit that was
// acknowledged before it and that no promotion has discarded. It returns false if the session
// broke.
func (w *soakRun) checkStrictRead(c *linetest.Caller, d *database) bool {
	mark := d.group.Mark()
	r := c.Query("READ item")
	if acknowledged := d.group.Kept(mark); r.OK() && r.CommitsSeen() < acknowledged {
		w.t.Errorf("stale read %s: saw %d of %d acknowledged commits", r.ID, r.CommitsSeen(), acknowledged)
	}
	return !r.Broken
}

// recordEvent adds an event with the current time.
func (w *soakRun) recordEvent(format string, args ...any) {
	event := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f s  %s", time.Since(w.start).Seconds(), event))
}

// pickRandom returns a random element of list.
func pickRandom[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// injectFault injects a random fault and waits for a random time of up to 400 ms.
// Faults that last longer overlap with the next ones.
func (w *soakRun) injectFault() {
	id := pickRandom(w.rng, []string{"a", "b", "c"})
	v := pickRandom(w.rng, w.vms)
	duration := time.Duration(200+w.rng.IntN(1800)) * time.Millisecond
	switch w.rng.IntN(16) {
	case 0, 1:
		w.disturbLink(w.upstream(id), "upstream "+id, duration)
	case 2:
		w.disturbLink(w.store, "store", duration)
	case 3:
		w.recordEvent("connections to upstream %s reset", id)
		w.upstream(id).reset()
	case 4:
		w.pauseVM(v, duration)
	case 5:
		w.recordEvent("%s killed (SIGKILL) and restarted", v.settings)
		v.kill()
		time.Sleep(duration / 4)
		v.start()
	case 6:
		w.recordEvent("%s stopped gracefully and restarted", v.settings)
		v.stop()
		v.start()
	case 7:
		w.recordEvent("%s received SIGHUP", v.settings)
		v.signal(syscall.SIGHUP)
	case 8:
		w.crashUpstream(id, duration)
	case 9:
		w.recordEvent("next 5 answers of upstream %s lost", id)
		w.Group.Server(id).LoseAnswers(5)
	case 10:
		w.injectStoreFault()
	case 11:
		w.disturbLink(v.peers, "peers of "+v.settings, duration)
	case 12:
		w.recordEvent("peer connections to %s reset", v.settings)
		v.peers.reset()
	case 13:
		w.recordEvent("configuration changed; replication to upstream %s stopped", id)
		w.Configure(linetest.Key)
		w.Group.Server(id).SetReceiveStopped(true)
		w.undoAfter(duration, func() { w.Group.Server(id).SetReceiveStopped(false) })
	case 14:
		w.isolateFormerPrimary(v, duration)
	case 15:
		w.recordEvent("upstream %s drains for %s", id, duration)
		w.Register(id, "draining")
		w.undoAfter(duration, func() { w.Register(id, "ready") })
	}
	time.Sleep(time.Duration(w.rng.IntN(400)) * time.Millisecond)
}

// isolateFormerPrimary drains the primary and keeps it, as a former primary, from
// learning of the new one for d, while other VMs do not reach v.
func (w *soakRun) isolateFormerPrimary(v *vm, d time.Duration) {
	id := w.Group.Primary()
	if id == "" {
		return
	}
	w.recordEvent("upstream %s drains and serves on as a former primary for %s", id, d)
	s := w.Group.Server(id)
	s.SetNewPrimaryCut(true)
	s.IgnoreStepDown(true)
	w.Register(id, "draining")
	w.disturbLink(v.peers, "peers of "+v.settings, d)
	w.undoAfter(d, func() {
		w.Register(id, "ready")
		s.SetNewPrimaryCut(false)
		s.IgnoreStepDown(false)
	})
}

// undoAfter calls undo after d in the background. The run waits for it.
func (w *soakRun) undoAfter(d time.Duration, undo func()) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		time.Sleep(d)
		undo()
	}()
}

// disturbLink puts a link into a random mode other than pass for d.
func (w *soakRun) disturbLink(k *link, name string, d time.Duration) {
	m := mode(1 + w.rng.IntN(int(modeCount)-1))
	w.recordEvent("link to %s in mode %d for %s", name, m, d)
	k.setMode(m)
	w.undoAfter(d, func() { k.setMode(pass) })
}

// pauseVM freezes the process of a VM for d.
func (w *soakRun) pauseVM(v *vm, d time.Duration) {
	w.recordEvent("%s paused (SIGSTOP) for %s", v.settings, d)
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
}

// crashUpstream stops an upstream, resets its connections and starts it again after d.
func (w *soakRun) crashUpstream(id string, d time.Duration) {
	w.recordEvent("upstream %s down for %s", id, d)
	s := w.Group.Server(id)
	s.Stop()
	w.upstream(id).reset()
	time.Sleep(d)
	if err := s.Start(); err != nil {
		w.t.Error(err)
	}
}

func (w *soakRun) injectStoreFault() {
	switch w.rng.IntN(5) {
	case 0:
		w.recordEvent("store down for 1 s")
		w.Store.Down.Store(true)
		w.undoAfter(time.Second, func() { w.Store.Down.Store(false) })
	case 1:
		w.recordEvent("next 3 answers of the store lost")
		w.Store.LoseAnswers.Store(3)
	case 2:
		w.recordEvent("leases of the store expired")
		w.Store.ExpireLeases()
	case 3:
		w.recordEvent("watch history of the store lost")
		w.Store.CompactHistory()
	case 4:
		w.recordEvent("next 2 promotion calls are executed late")
		w.Store.LatePromotions.Store(2)
	}
}

// restoreStore takes the store away in the middle of the run and brings it back from a
// copy that is a quarter of the run old. The upstreams then write their entries again.
func (w *soakRun) restoreStore() {
	time.Sleep(faultDuration / 4)
	c := w.Store.Copy()
	time.Sleep(faultDuration / 4)
	w.Store.Down.Store(true)
	time.Sleep(time.Second)
	w.Store.Restore(c)
	w.Store.Down.Store(false)
	for _, id := range w.Group.Servers() {
		w.Register(id, "ready")
	}
}

// endFaults ends all faults that are still in effect.
func (w *soakRun) endFaults() {
	w.recordEvent("healed")
	for _, g := range w.Groups {
		for _, id := range g.Servers() {
			w.upstream(id).setMode(pass)
			g.Server(id).SetReceiveStopped(false)
			g.Server(id).LoseAnswers(0)
		}
		g.SetLateness(linegroup.Lateness{})
	}
	for _, v := range w.vms {
		v.peers.setMode(pass)
	}
	w.store.setMode(pass)
	w.Store.Down.Store(false)
	w.Store.LoseAnswers.Store(0)
	w.Store.LatePromotions.Store(0)
}

// checkRecovery checks that all VMs become ready, that writes of each group succeed, and that every
// VM refuses a withdrawn key after revocationTimeout.
func (w *soakRun) checkRecovery() {
	var served []int64
	for _, d := range w.databases {
		served = append(served, d.served.Load())
	}
	w.WaitFor("all VMs ready after the faults", w.allReady)
	for i, d := range w.databases {
		w.WaitFor("writes after the faults to "+d.group.Service(), func() bool { return d.served.Load() > served[i]+50 })
	}
	w.Configure("another key")
	time.Sleep(revocationTimeout)
	for _, v := range w.vms {
		c, m, err := linetest.TryConnect(w.t, v.callers, "STARTUP own "+linetest.Key)
		if err == nil && m.Word == lineproto.Ready {
			w.t.Errorf("%s accepts a withdrawn key", v.settings)
		}
		if c != nil {
			_ = c.Conn.Close()
		}
	}
}

// checkUsage checks that windows are reported again, and that no two reports were different
// for one window or had the same token.
func (w *soakRun) checkUsage() {
	reported := len(w.Store.Usage.Reports())
	w.WaitFor("reports of usage after the faults", func() bool { return len(w.Store.Usage.Reports()) > reported+2 })
	for _, fault := range w.Store.Usage.Faults() {
		w.t.Error("usage: " + fault)
	}
}

// logEvents logs the events, and copies the daemons' logs to the directory SOAK_KEEP
// if it is set.
func (w *soakRun) logEvents() {
	for _, e := range w.events {
		w.t.Log(e)
	}
	keep := os.Getenv("SOAK_KEEP")
	if keep == "" {
		return
	}
	for _, v := range w.vms {
		data, err := os.ReadFile(v.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(keep, filepath.Base(w.t.Name())+"-"+filepath.Base(v.log)), data, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
	}
}
