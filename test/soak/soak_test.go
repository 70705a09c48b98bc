// Package soak runs the daemons of VMs that speak the line protocol as processes
// against stand-ins, injects faults from outside of them in a random order, and
// checks what callers and upstreams see.
//
// SOAK_SEEDS=50 runs that many seeds, SOAK_SEED=7 runs one, SOAK_VMS sets the
// number of processes, SOAK_BINARY names a daemon that is built already; without
// them one short seeded run is made.
package soak

import (
	"fmt"
	"math/rand/v2"
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
)

const (
	defaultVMs = 4
	// callersPerVM write and read at the same time.
	callersPerVM = 4
	// faultTime is for how long faults are injected.
	faultTime = 8 * time.Second
	// reconnectPause is the pause after a session that broke.
	reconnectPause = 20 * time.Millisecond
	// answerLimit is how long a caller waits before it gives its session up.
	answerLimit = 4 * time.Second
	// revoked is how long a withdrawn key may go on working on a VM that hears
	// of the change.
	revoked = 4 * time.Second
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	// A VM was not ready at the start, before any fault: the port that was found
	// for it went to another soak that ran beside (see package ports).
	44,
}

func number(t *testing.T, name string, fallback int) int {
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

// Guards against lost, doubled and stale statements, false refusals and service
// that does not come back, under faults that overlap.
func TestSoak(t *testing.T) {
	binary := os.Getenv("SOAK_BINARY")
	if binary == "" {
		binary = build(t)
	}
	seeds := append([]uint64{1}, regressions...)
	if one := number(t, "SOAK_SEED", 0); one > 0 {
		seeds = []uint64{uint64(one)}
	}
	for i := range number(t, "SOAK_SEEDS", 0) {
		seeds = append(seeds, uint64(i+2))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, binary, seed) })
	}
}

// build makes the daemon.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "chervilhatchd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/chervilhatchd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// world is one run.
type world struct {
	*linetest.Platform
	t         *testing.T
	random    *rand.Rand
	vms       []*vm
	upstreams map[string]*link
	store     *link
	outcomes  *linetest.Outcomes
	stopping  atomic.Bool
	// broken counts sessions that ended without an answer.
	broken atomic.Int64
	wg     sync.WaitGroup
	// events is what was done, for the report of a failure.
	events []string
	start  time.Time
}

func run(t *testing.T, binary string, seed uint64) {
	w := &world{
		Platform: linetest.NewPlatform(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond, Lag: 5 * time.Millisecond}),
		t:        t, random: rand.New(rand.NewPCG(seed, 3)), upstreams: map[string]*link{}, outcomes: linetest.NewOutcomes(), start: time.Now(),
	}
	t.Cleanup(func() {
		if t.Failed() {
			w.report()
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		w.upstreams[id] = newLink(t, w.Group.Server(id).Address)
	}
	w.store = newLink(t, w.Store.Address)
	w.Address = func(id string) string { return w.upstreams[id].address() }
	w.Open()
	dir := t.TempDir()
	for i := range number(t, "SOAK_VMS", defaultVMs) {
		w.vms = append(w.vms, newVM(t, binary, dir, i, w.store.address()))
	}
	for _, v := range w.vms {
		v.start()
	}
	w.Await("all VMs ready", w.allReady)
	for _, v := range w.vms {
		for range callersPerVM {
			w.wg.Add(1)
			go w.call(v)
		}
	}
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		w.fault()
	}
	w.heal()
	w.recover()
	w.stopping.Store(true)
	w.wg.Wait()
	w.outcomes.Check(w.Platform)
	t.Logf("%d faults, %d broken sessions, outcomes %v, %d commits", len(w.events), w.broken.Load(), w.outcomes.Codes(), len(w.Group.Log()))
}

func (w *world) allReady() bool {
	for _, v := range w.vms {
		if !v.isReady() {
			return false
		}
	}
	return true
}

// call is one caller: it keeps its session until that ends, writes and reads.
func (w *world) call(v *vm) {
	defer w.wg.Done()
	for !w.stopping.Load() {
		c, m, err := linetest.TryDial(w.t, v.callers, "STARTUP own "+linetest.Key)
		if err != nil || m.Word != lineproto.Ready {
			if c != nil {
				_ = c.Conn.Close()
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.Limit = answerLimit
		if !w.session(c) {
			w.broken.Add(1)
			time.Sleep(reconnectPause)
		}
		_ = c.Conn.Close()
	}
}

// session works until the session breaks or the run ends; it returns false when
// it broke.
func (w *world) session(c *linetest.Caller) bool {
	for i := 0; !w.stopping.Load(); i++ {
		if i%3 == 0 {
			last, ids := c.Transaction()
			w.outcomes.Note(&last, ids)
			if last.Broken {
				return false
			}
			continue
		}
		r := c.Query("WRITE item data")
		w.outcomes.Note(&r, []string{r.ID})
		if r.Broken || !w.read(c, &r) {
			return false
		}
		time.Sleep(3 * time.Millisecond)
	}
	return true
}

// read checks that a session sees its own write. It returns false when the
// session broke.
func (w *world) read(c *linetest.Caller, write *linetest.Result) bool {
	r := c.Query("READ item")
	if number := w.Group.NumberOf(write.ID); r.OK() && write.OK() && r.Seen() < number {
		w.t.Errorf("read %s saw %d commits after commit %d of its session", r.ID, r.Seen(), number)
	}
	return !r.Broken
}

func (w *world) note(format string, args ...any) {
	event := fmt.Sprintf(format, args...)
	w.events = append(w.events, fmt.Sprintf("%6.2f s  %s", time.Since(w.start).Seconds(), event))
}

// pick returns a random element.
func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// fault injects one fault and waits a little; faults overlap.
func (w *world) fault() {
	id := pick(w.random, []string{"a", "b", "c"})
	v := pick(w.random, w.vms)
	lasts := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
	switch w.random.IntN(14) {
	case 0, 1:
		w.cut(w.upstreams[id], "upstream "+id, lasts)
	case 2:
		w.cut(w.store, "store", lasts)
	case 3:
		w.note("connections to upstream %s reset", id)
		w.upstreams[id].reset()
	case 4:
		w.pauseVM(v, lasts)
	case 5:
		w.note("%s killed", v.settings)
		v.kill()
		time.Sleep(lasts / 4)
		v.start()
	case 6:
		w.note("%s stopped", v.settings)
		v.stop()
		v.start()
	case 7:
		w.note("%s reloads", v.settings)
		v.signal(syscall.SIGHUP)
	case 8:
		w.crash(id, lasts)
	case 9:
		w.note("answers of upstream %s lost", id)
		w.Group.Server(id).LoseAnswers(5)
	case 10:
		w.storeFault()
	case 11:
		w.cut(v.peers, "peers of "+v.settings, lasts)
	case 12:
		w.note("connections of peers to %s reset", v.settings)
		v.peers.reset()
	case 13:
		w.note("configuration changed, %s deaf", id)
		w.Configure(linetest.Key)
		w.Group.Server(id).SetReceiveStopped(true)
		w.later(lasts, func() { w.Group.Server(id).SetReceiveStopped(false) })
	}
	time.Sleep(time.Duration(w.random.IntN(400)) * time.Millisecond)
}

// later undoes a fault; the run waits for it.
func (w *world) later(d time.Duration, undo func()) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		time.Sleep(d)
		undo()
	}()
}

func (w *world) cut(k *link, name string, d time.Duration) {
	m := mode(1 + w.random.IntN(int(modes)-1))
	w.note("link to %s in mode %d for %s", name, m, d)
	k.set(m)
	w.later(d, func() { k.set(pass) })
}

func (w *world) pauseVM(v *vm, d time.Duration) {
	w.note("%s paused for %s", v.settings, d)
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
}

func (w *world) crash(id string, d time.Duration) {
	w.note("upstream %s down for %s", id, d)
	s := w.Group.Server(id)
	s.Stop()
	w.upstreams[id].reset()
	time.Sleep(d)
	if err := s.Start(); err != nil {
		w.t.Error(err)
	}
}

func (w *world) storeFault() {
	switch w.random.IntN(4) {
	case 0:
		w.note("store down for a second")
		w.Store.Down.Store(true)
		w.later(time.Second, func() { w.Store.Down.Store(false) })
	case 1:
		w.note("answers of the store lost")
		w.Store.LoseAnswers.Store(3)
	case 2:
		w.note("leases ended")
		w.Store.EndLeases()
	case 3:
		w.note("history forgotten")
		w.Store.ForgetHistory()
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.note("healed")
	for id, k := range w.upstreams {
		k.set(pass)
		w.Group.Server(id).SetReceiveStopped(false)
		w.Group.Server(id).LoseAnswers(0)
	}
	for _, v := range w.vms {
		v.peers.set(pass)
	}
	w.store.set(pass)
	w.Store.Down.Store(false)
	w.Store.LoseAnswers.Store(0)
}

// recover checks that every VM serves writes again, and that a withdrawn key
// stops working on all of them.
func (w *world) recover() {
	served := w.outcomes.Count("")
	w.Await("all VMs ready after the faults", w.allReady)
	w.Await("writes after the faults", func() bool { return w.outcomes.Count("") > served+50 })
	w.Configure("another key")
	time.Sleep(revoked)
	for _, v := range w.vms {
		c, m, err := linetest.TryDial(w.t, v.callers, "STARTUP own "+linetest.Key)
		if err == nil && m.Word == lineproto.Ready {
			w.t.Errorf("%s accepts a withdrawn key", v.settings)
		}
		if c != nil {
			_ = c.Conn.Close()
		}
	}
}

// report shows what was done, and keeps the logs if SOAK_KEEP names a folder.
func (w *world) report() {
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
