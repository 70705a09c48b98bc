package usage

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// process is one run of a VM.
type process struct {
	reporter *Reporter
	// skew is how far its estimate of the true time is off.
	skew WallTime
	// lease is the token under which it believes to hold the duty, 0 for none; acquired is
	// true once the reporter acts under it.
	lease    uint64
	acquired bool
}

// call is a call that is under way. It may be carried out after its sender has given up
// waiting, or never.
type call struct {
	sender *process
	effect Effect
	// waiting is true while the sender waits for the answer.
	waiting bool
}

// world has the store, the platform and the VMs.
type world struct {
	t     *rapid.T
	now   WallTime
	sums  uint64
	vms   []*process
	calls []*call
	// down is true while the store rejects calls.
	down bool
	// generation, revision, lease and records are those of the store; copies are the
	// records that it may come back from.
	generation int64
	revision   uint64
	lease      uint64
	records    map[Window]Record
	copies     []map[Window]Record
	// accepted are the reports that the platform has taken, and holders the senders by
	// token.
	accepted map[Window]map[model.Workspace]uint64
	holders  map[uint64]*process
	// highest is the highest token that the platform has seen.
	highest uint64
}

// Total returns other counts for each call, so that counts that are not those of the
// record are noticed.
func (w *world) Total(Window) map[model.Workspace]uint64 {
	w.sums++
	return map[model.Workspace]uint64{"w": w.sums}
}

// Connected is true.
func (w *world) Connected() bool { return true }

// Settled is drawn.
func (w *world) Settled(Window) bool { return rapid.Bool().Draw(w.t, "settled") }

func (w *world) clock(p *process) WallTime { return w.now + p.skew }

func (w *world) start() *process {
	skew := WallTime(rapid.IntRange(-300, 300).Draw(w.t, "skew")) * WallTime(time.Millisecond)
	return &process{reporter: NewReporter(testSettings), skew: skew}
}

func (w *world) send(p *process, effects []Effect) {
	for _, e := range effects {
		if e.Kind != EffectGiveUp {
			w.calls = append(w.calls, &call{sender: p, effect: e, waiting: true})
		}
	}
}

// acquire gives the lease to a VM, whether or not the former holder has noticed that it
// has lost it.
func (w *world) acquire(p *process) {
	w.revision++
	w.lease = uint64(w.generation)<<40 | w.revision
	p.lease, p.acquired = w.lease, false
	if p.reporter.Holding() {
		p.reporter.Lose()
	}
}

// step lets a VM do what it does at each tick.
func (w *world) step(p *process) {
	switch {
	case p.lease == 0:
		return
	case !p.acquired && w.down:
		return
	case !p.acquired:
		if w.lease>>40 != p.lease>>40 {
			p.lease = 0
			return
		}
		a := Acquisition{Token: p.lease, Now: w.clock(p), Generation: w.generation}
		for _, window := range slices.Sorted(maps.Keys(w.records)) {
			a.Stored = append(a.Stored, w.records[window])
		}
		p.acquired = true
		p.reporter.Acquire(a)
	}
	w.send(p, p.reporter.Tick(w.clock(p), w))
}

// carryOut carries a call out at the store or the platform, and passes the answer on
// unless it is lost.
func (w *world) carryOut(c *call, lost bool) {
	e := &c.effect
	p, now := c.sender, w.clock(c.sender)
	answer := c.waiting && !lost
	switch e.Kind {
	case EffectRecord:
		outcome := w.write(e)
		if answer {
			p.reporter.ReportRecorded(now, e, outcome)
		}
	case EffectRead:
		if answer {
			record, found := w.records[e.Window]
			p.reporter.ReportRead(now, e, &Reading{Failed: w.down, Exists: found, Record: record})
		}
	case EffectSend:
		outcome := w.report(c)
		if answer {
			p.reporter.ReportSent(now, e, outcome)
		}
	}
	if c.waiting && lost {
		w.timeOut(c)
	}
}

func (w *world) write(e *Effect) RecordOutcome {
	_, found := w.records[e.Window]
	switch {
	case w.down:
		return RecordRejected
	case w.lease != e.Token:
		return RecordNotHolder
	case found:
		return RecordExists
	}
	w.records[e.Window] = e.Record
	for _, old := range e.Delete {
		delete(w.records, old)
	}
	w.copies = append(w.copies, maps.Clone(w.records))
	return RecordWritten
}

func (w *world) report(c *call) SendOutcome {
	e := &c.effect
	if holder := w.holders[e.Token]; holder != nil && holder != c.sender {
		w.t.Fatalf("token %d is used by two VMs", e.Token)
	}
	w.holders[e.Token] = c.sender
	if e.Token < w.highest {
		return SendRefused
	}
	w.highest = e.Token
	if counts, found := w.accepted[e.Window]; found && !maps.Equal(counts, e.Record.Counts) {
		w.t.Fatalf("window %d is reported with %v and %v", e.Window, counts, e.Record.Counts)
	}
	w.accepted[e.Window] = e.Record.Counts
	return SendAccepted
}

// timeOut ends the wait for an answer.
func (w *world) timeOut(c *call) {
	if !c.waiting {
		return
	}
	c.waiting = false
	p, now := c.sender, w.clock(c.sender)
	switch c.effect.Kind {
	case EffectRecord:
		p.reporter.ReportRecorded(now, &c.effect, RecordUnknown)
	case EffectRead:
		p.reporter.ReportRead(now, &c.effect, &Reading{Failed: true})
	case EffectSend:
		p.reporter.ReportSent(now, &c.effect, SendFailed)
	}
}

// restore lets the store come back from a copy in a new generation, with no lease.
func (w *world) restore() {
	w.generation++
	w.lease = 0
	w.records = maps.Clone(w.copies[rapid.IntRange(0, len(w.copies)-1).Draw(w.t, "copy")])
}

func newWorld(t *rapid.T, vms int) *world {
	w := &world{
		t: t, now: WallTime(1_700_000_003 * time.Second), records: map[Window]Record{}, copies: []map[Window]Record{{}},
		accepted: map[Window]map[model.Workspace]uint64{}, holders: map[uint64]*process{},
	}
	for range vms {
		w.vms = append(w.vms, w.start())
	}
	return w
}

// Guards against two reports with different counts for one window, and against a token of
// two holders: with holders that are killed, suspended or cut off and act on a lease that
// another VM has taken, calls to the store and the platform that are lost, answered late
// or carried out after newer ones, an outage of the store, and a store that comes back
// from a copy.
func TestNoWindowIsReportedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
			p := w.vms[i]
			switch step := rapid.IntRange(0, 40).Draw(t, "step"); {
			case step < 3:
				w.acquire(p)
			case step == 3:
				p.lease = 0
				p.reporter.Lose()
			case step == 4:
				// Calls of the killed process may still be carried out.
				w.vms[i] = w.start()
			case step == 5:
				w.restore()
			case step == 6:
				w.down = !w.down
			case step < 10:
				w.handleCall(rapid.IntRange(0, max(len(w.calls)-1, 0)).Draw(t, "call"))
			case step < 18:
				w.now += WallTime(rapid.IntRange(100, 3000).Draw(t, "ms")) * WallTime(time.Millisecond)
			default:
				// A VM that believes to be the holder acts, and some of its calls are answered.
				for _, p := range w.vms {
					w.step(p)
				}
				for range rapid.IntRange(0, 3).Draw(t, "calls") {
					w.handleCall(len(w.calls) - 1)
				}
			}
		}
	})
}

// handleCall carries out, answers, loses or delays the call with an index.
func (w *world) handleCall(i int) {
	if i < 0 || i >= len(w.calls) {
		return
	}
	c := w.calls[i]
	switch rapid.IntRange(0, 7).Draw(w.t, "fate") {
	case 0:
		w.timeOut(c)
	case 1:
		w.timeOut(c)
		w.calls = slices.Delete(w.calls, i, i+1)
	case 2:
		// It is carried out and the answer lost; a copy may be carried out again.
		w.carryOut(c, true)
	default:
		w.carryOut(c, rapid.IntRange(0, 4).Draw(w.t, "lost") == 0)
		w.calls = slices.Delete(w.calls, i, i+1)
	}
}

// settled is a source of sums that are complete.
type settled struct{ *world }

func (settled) Settled(Window) bool { return true }

// run lets one VM act for a while without faults.
func (w *world) run(p *process, until WallTime) {
	for ; w.now < until; w.now += WallTime(100 * time.Millisecond) {
		w.send(p, p.reporter.Tick(w.clock(p), settled{w}))
		calls := w.calls
		w.calls = nil
		for _, c := range calls {
			w.carryOut(c, false)
		}
	}
}

func (w *world) takeOver(p *process) []Effect {
	w.acquire(p)
	a := Acquisition{Token: p.lease, Now: w.clock(p), Generation: w.generation}
	for _, window := range slices.Sorted(maps.Keys(w.records)) {
		a.Stored = append(a.Stored, w.records[window])
	}
	p.acquired = true
	return p.reporter.Acquire(a)
}

// Guards against windows that a change of the holder loses: recorded ones that were not
// sent are sent as recorded, those not recorded are recorded, and old records are deleted.
func TestNewHolderCompletesWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		w.vms[0].skew, w.vms[1].skew = 0, 0
		start := testSettings.At(w.now)
		w.takeOver(w.vms[0])
		// As long as there is no record, a new holder cannot know what was reported.
		w.run(w.vms[0], testSettings.End(start)+WallTime(settleTime+time.Second))
		for i := range 20 {
			p := w.vms[i%2]
			w.run(p, w.now+WallTime(rapid.IntRange(500, 20000).Draw(t, "ms"))*WallTime(time.Millisecond))
			// The holder may die between the record and the report.
			w.send(p, p.reporter.Tick(w.clock(p), settled{w}))
			for _, c := range w.calls {
				if c.effect.Kind == EffectRecord {
					w.write(&c.effect)
				}
			}
			w.calls = nil
			w.vms[i%2] = &process{reporter: NewReporter(testSettings)}
			w.takeOver(w.vms[(i+1)%2])
		}
		w.run(w.vms[0], w.now+WallTime(8*time.Second))
		for k := start; testSettings.End(k) < w.now-WallTime(settleTime+time.Second); k++ {
			if w.accepted[k] == nil {
				t.Fatalf("window %d of %d to %d is not reported", k, start, testSettings.At(w.now))
			}
		}
		if len(w.records) > 6 {
			t.Fatalf("%d records are kept", len(w.records))
		}
	})
}

// Guards against a new holder that reports windows which the former one may have reported
// before the store came back without their records, and against a former holder that
// does not send what it has recorded itself.
func TestRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		w.takeOver(w.vms[0])
		w.run(w.vms[0], w.now+WallTime(30*time.Second))
		w.restore()
		effects := w.takeOver(w.vms[1])
		for _, e := range effects {
			if e.Kind != EffectGiveUp || e.Cause == "" {
				t.Fatalf("effect %+v", e)
			}
		}
		before := len(w.accepted)
		w.run(w.vms[1], w.now+WallTime(20*time.Second))
		if n := len(w.accepted) - before; n < 2 || n > 4 {
			t.Fatalf("%d windows are reported in 20 s", n)
		}
	})
}

// Guards against reports after the platform has refused the token, until this VM acquires
// the duty again, and against records that cannot be read and are replaced.
func TestRefusalAndUnreadableRecord(t *testing.T) {
	r := NewReporter(testSettings)
	now := WallTime(1_700_000_003 * time.Second)
	k := testSettings.At(now)
	a := Acquisition{Token: 5, Now: now, Unreadable: []Window{k - 2}, Stored: []Record{{Window: k - 1, Counts: map[model.Workspace]uint64{"w": 3}}}}
	effects := r.Acquire(a)
	if len(effects) != 1 || effects[0].Window != k-2 || effects[0].Cause != causeUnreadable {
		t.Fatalf("effects %+v, want window %d given up", effects, k-2)
	}
	w := newWorld(nil, 0)
	effects = r.Tick(now, settled{w})
	if len(effects) != 1 || effects[0].Kind != EffectSend || effects[0].Record.Counts["w"] != 3 || effects[0].Token != 5 {
		t.Fatalf("effects %+v, want the record sent", effects)
	}
	r.ReportSent(now, &effects[0], SendRefused)
	if effects = r.Tick(now+WallTime(6*time.Second), settled{w}); r.Holding() || len(effects) != 0 {
		t.Fatalf("effects %+v after a refusal", effects)
	}
	a.Token, a.Now = 6, now+WallTime(6*time.Second)
	r.Acquire(a)
	if effects = r.Tick(a.Now, settled{w}); len(effects) != 2 || effects[0].Token != 6 || effects[1].Record.Window != k {
		t.Fatalf("effects %+v after another acquisition", effects)
	}
}
