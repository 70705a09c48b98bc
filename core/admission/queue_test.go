package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const ms = time.Millisecond

// upstream runs entries of a queue on a number of slots, in virtual time.
type upstream struct {
	queue *Queue
	now   model.Time
	slots int
	// running has the entries on slots, by their end.
	running []run
	// outcomes has what became of each entry.
	outcomes map[*Entry]outcome
}

type run struct {
	entry *Entry
	since model.Time
	until model.Time
}

type outcome struct {
	cause Cause
	wait  time.Duration
	ran   bool
	late  bool
}

// statement is a statement of the load, with its service time.
type statement struct {
	entry *Entry
	at    model.Time
	takes time.Duration
}

func newUpstream(slots, limit int) *upstream {
	return &upstream{queue: New(Config{Limit: limit}), slots: slots, outcomes: map[*Entry]outcome{}}
}

func (u *upstream) capacity() Capacity {
	return Capacity{Slots: u.slots, Free: u.slots - len(u.running), Connections: true}
}

// play runs the load, which is in the order of time, and then what waits.
func (u *upstream) play(load []statement) {
	takes := map[*Entry]time.Duration{}
	for len(load) > 0 || len(u.running) > 0 {
		if len(u.running) > 0 && (len(load) == 0 || u.running[0].until <= load[0].at) {
			r := u.running[0]
			u.running = u.running[1:]
			u.now = r.until
			u.queue.Finish(r.entry, r.until.Sub(r.since))
		} else {
			s := load[0]
			load = load[1:]
			u.now = s.at
			takes[s.entry] = s.takes
			u.offer(s.entry)
		}
		u.dispatch(takes)
	}
}

func (u *upstream) offer(e *Entry) {
	refusal, evicted, ok := u.queue.Offer(u.now, e, u.capacity(), 0.5)
	if !ok {
		u.outcomes[e] = outcome{cause: refusal.Cause}
	}
	if evicted != nil {
		u.outcomes[evicted] = outcome{cause: refusal.Cause, wait: u.now.Sub(evicted.Arrival)}
	}
}

func (u *upstream) dispatch(takes map[*Entry]time.Duration) {
	for {
		e, refusal := u.queue.Expire(u.now, u.capacity(), 0.5)
		if e == nil {
			break
		}
		u.outcomes[e] = outcome{cause: refusal.Cause, wait: u.now.Sub(e.Arrival)}
	}
	for len(u.running) < u.slots {
		e := u.queue.Next(u.now, u.capacity())
		if e == nil {
			return
		}
		u.outcomes[e] = outcome{wait: u.now.Sub(e.Arrival), ran: true, late: u.now > e.StartBy}
		u.running = append(u.running, run{e, u.now, u.now.Add(takes[e])})
		slices.SortStableFunc(u.running, func(a, b run) int { return int(a.until - b.until) })
	}
}

// route describes statements of one kind.
type route struct {
	priority             int
	objective, deadline  time.Duration
	takes                time.Duration
	perSecond            float64
	workspaces, firstOne int
}

var (
	urgent   = route{priority: 0, objective: 150 * ms, deadline: 2500 * ms, takes: 6 * ms, perSecond: 60, workspaces: 6}
	usual    = route{priority: 1, objective: 250 * ms, deadline: 2500 * ms, takes: 18 * ms, perSecond: 120, workspaces: 6}
	unurgent = route{priority: 2, objective: time.Second, deadline: 8 * time.Second, takes: 30 * ms, perSecond: 10, workspaces: 6}
)

// arrivals returns the statements of a route between two times, evenly spread.
func (r route) arrivals(from, to time.Duration) []statement {
	var all []statement
	gap := time.Duration(float64(time.Second) / r.perSecond)
	for i := 0; ; i++ {
		at := from + time.Duration(i)*gap
		if at >= to {
			return all
		}
		now := model.Time(at)
		all = append(all, statement{at: now, takes: r.takes, entry: &Entry{
			Workspace: fmt.Sprintf("w-%d", r.firstOne+i%r.workspaces), Priority: r.priority, Arrival: now,
			StartBy: now.Add(r.objective - r.takes), Deadline: now.Add(r.deadline - r.takes),
		}})
	}
}

func merge(loads ...[]statement) []statement {
	all := slices.Concat(loads...)
	slices.SortStableFunc(all, func(a, b statement) int { return int(a.at - b.at) })
	return all
}

// Guards against urgent statements that wait behind many long unurgent ones, and against
// unurgent ones that starve meanwhile. The load: a burst of 400 reads of 30 ms within
// 200 ms beside urgent and usual ones that use 63% of four slots.
func TestBurstOfUnurgentReads(t *testing.T) {
	burst := unurgent
	burst.perSecond = 2000
	reads := burst.arrivals(time.Second, 1200*ms)
	u := newUpstream(4, 0)
	others := merge(urgent.arrivals(0, 10*time.Second), usual.arrivals(0, 10*time.Second))
	u.play(merge(others, reads))
	for _, s := range others {
		if o := u.outcomes[s.entry]; !o.ran || o.late {
			t.Fatalf("statement of priority %d at %s: %+v", s.entry.Priority, time.Duration(s.at), o)
		}
	}
	served, longest := 0, time.Duration(0)
	for _, s := range reads {
		o := u.outcomes[s.entry]
		if o.ran {
			served++
			longest = max(longest, o.wait)
		} else if o.cause == Expired {
			t.Fatalf("an unurgent read expired after %s: it was not refused in time", o.wait)
		}
	}
	// 37% of four slots serve 394 of them within the 8 s that they have.
	if served < 250 || longest > burst.deadline {
		t.Errorf("%d of %d unurgent reads served, the last after %s", served, len(reads), longest)
	}
}

// Guards against one workspace at 8 times its usual that takes the slots of the others.
// The load: six workspaces that use 80% of four slots, of which one then sends 8 times
// as much for 5 s.
func TestWorkspaceAtManyTimesItsUsual(t *testing.T) {
	steady := usual
	steady.perSecond = 180
	flood := usual
	flood.workspaces, flood.perSecond = 1, 7*180.0/6
	u := newUpstream(4, 0)
	load := merge(steady.arrivals(0, 7*time.Second), flood.arrivals(time.Second, 6*time.Second))
	u.play(load)
	sent, good := map[string]int{}, map[string]int{}
	for _, s := range load {
		if s.at < model.Time(time.Second) || s.at >= model.Time(6*time.Second) {
			continue
		}
		sent[s.entry.Workspace]++
		if o := u.outcomes[s.entry]; o.ran && !o.late {
			good[s.entry.Workspace]++
		}
	}
	for w, n := range sent {
		if share := float64(good[w]) / float64(n); w != "w-0" && share < 0.95 {
			t.Errorf("workspace %s: %.2f of its statements in time", w, share)
		}
	}
	if good["w-0"] < sent["w-0"]/10 {
		t.Errorf("the flooding workspace got %d of %d", good["w-0"], sent["w-0"])
	}
}

// Guards against statements that wait in vain: what cannot be run in time is refused at
// its arrival or at once when more urgent work comes in between, and what is admitted
// runs by its deadline. The load: twice as much of one priority as four slots serve, for
// 8 s, of statements that are of use only until their objective.
func TestMoreDemandThanSlots(t *testing.T) {
	r := usual
	r.perSecond, r.deadline = 444, usual.objective
	u := newUpstream(4, 0)
	load := r.arrivals(0, 8*time.Second)
	u.play(load)
	ran, atOnce := 0, 0
	for _, s := range load {
		o := u.outcomes[s.entry]
		switch {
		case o.ran && o.late:
			t.Fatalf("a statement ran %s after its arrival", o.wait)
		case o.ran:
			ran++
		case o.wait == 0:
			atOnce++
		}
	}
	if ran < len(load)*45/100 {
		t.Errorf("%d of %d ran; the slots serve half", ran, len(load))
	}
	if waited := len(load) - ran - atOnce; waited > 0 {
		t.Errorf("%d of %d were refused after a wait", waited, len(load))
	}
}

// Guards against waiting entries that are granted or kept after a suspension, during
// which their deadlines have passed.
func TestSuspensionDropsWhatIsPastItsDeadline(t *testing.T) {
	u := newUpstream(1, 0)
	load := merge(urgent.arrivals(0, 100*ms), unurgent.arrivals(0, 500*ms))
	for _, s := range load {
		u.offer(s.entry)
	}
	waiting := u.queue.Len()
	u.now = model.Time(3 * time.Second)
	u.running = nil
	expired := 0
	for {
		e, refusal := u.queue.Expire(u.now, u.capacity(), 0)
		if e == nil {
			break
		}
		expired++
		if e.Deadline >= u.now || refusal.Cause != Expired {
			t.Errorf("entry with deadline %s refused: %s", time.Duration(e.Deadline), refusal.Cause)
		}
	}
	for e := u.queue.Next(u.now, u.capacity()); e != nil; e = u.queue.Next(u.now, u.capacity()) {
		waiting--
		if e.Deadline < u.now {
			t.Error("an entry past its deadline was granted")
		}
	}
	if expired == 0 || waiting != expired {
		t.Errorf("%d expired, %d neither expired nor granted", expired, waiting-expired)
	}
}

// Guards against a delay that does not get longer with the queue, or is the same for all
// that are refused together.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	delay := func(waiting int, random float64) time.Duration {
		q := New(Config{})
		for i := range waiting {
			q.Offer(0, &Entry{Workspace: "a", Priority: 1, StartBy: 0, Deadline: model.Time(time.Hour)}, Capacity{Slots: 4, Connections: true}, float64(i))
		}
		r, _, ok := q.Offer(0, &Entry{Workspace: "a", Priority: 1, StartBy: 0, Deadline: model.Time(50 * ms)}, Capacity{Slots: 4, Connections: true}, random)
		if ok || r.Waiting != waiting || r.Estimate <= 50*ms || r.Service != initialService {
			t.Fatalf("%d waiting: %+v", waiting, r)
		}
		return r.RetryAfter
	}
	if short, long := delay(20, 0), delay(80, 0); long < short*2 {
		t.Errorf("%s behind 20, %s behind 80", short, long)
	}
	if a, b := delay(20, 0.1), delay(20, 0.9); a == b {
		t.Errorf("both are told %s", a)
	}
}

// Guards against an open transaction that waits for ever behind more urgent work, also
// while no connection is free. The load: urgent statements that take all slots.
func TestOpenTransactionsMakeProgress(t *testing.T) {
	for _, connections := range []bool{true, false} {
		q := New(Config{})
		c := Capacity{Slots: 4, Connections: connections}
		open := &Entry{Workspace: "b", Priority: 2, Open: true, StartBy: model.Time(time.Hour), Deadline: model.Time(time.Hour)}
		q.Offer(0, open, c, 0)
		granted := 0
		for ; open.queued; granted++ {
			q.Offer(0, &Entry{Workspace: "a", StartBy: model.Time(time.Hour), Deadline: model.Time(time.Hour)}, c, 0)
			if e := q.Next(0, c); e != nil {
				q.Finish(e, initialService)
			}
		}
		if granted > agedDivisor+1 {
			t.Errorf("connections %t: an open transaction waited for %d others", connections, granted)
		}
	}
}

// Guards against a new connection for each statement of a long queue, and against
// statements that miss their objective since workspaces with idle connections go ahead.
// The load: entries of two workspaces, of which one has an idle connection.
func TestIdleConnectionsGoFirst(t *testing.T) {
	for _, tt := range []struct {
		name              string
		waited, left      time.Duration
		want              string
		firstHasPriority0 bool
	}{
		{"just arrived", 0, affinityWindow / 2, "idle", false},
		{"long wait, enough time", 2 * affinityWindow, 2 * affinityWindow, "idle", false},
		{"long wait, little time", 2 * affinityWindow, affinityWindow / 2, "first", false},
		{"late", 2 * affinityWindow, -ms, "idle", false},
		{"more urgent", 0, affinityWindow, "first", true},
	} {
		q := New(Config{Idle: func(w string) bool { return w == "idle" }})
		now := model.Time(time.Second)
		c := Capacity{Slots: 4, Connections: true}
		for _, w := range []string{"first", "idle"} {
			e := &Entry{Workspace: w, Priority: 1, Arrival: now.Add(-tt.waited), StartBy: now.Add(tt.left), Deadline: now.Add(time.Hour)}
			if tt.firstHasPriority0 && w == "first" {
				e.Priority = 0
			}
			q.Offer(e.Arrival, e, c, 0)
		}
		if e := q.Next(now, c); e.Workspace != tt.want {
			t.Errorf("%s: %s is next, want %s", tt.name, e.Workspace, tt.want)
		}
	}
}

// Guards against entries that are lost, granted or refused twice, and against a bound of
// the wait that does not hold: of any entries that are offered, removed, granted and
// expire, each has exactly one end.
func TestEachEntryEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		q := New(Config{Limit: limit, Idle: func(w string) bool { return w == "a" }})
		now, slots := model.Time(0), 3
		var waiting, running []*Entry
		ended := map[*Entry]bool{}
		end := func(e *Entry, how string) {
			i := slices.Index(waiting, e)
			if i < 0 || ended[e] {
				t.Fatalf("entry %s twice, or never offered", how)
			}
			ended[e] = true
			waiting = slices.Delete(waiting, i, i+1)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms)
			c := Capacity{Slots: slots, Free: slots - len(running), Connections: rapid.Bool().Draw(t, "connections")}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				e := &Entry{
					Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Priority:  rapid.IntRange(-1, 9).Draw(t, "priority"), Open: rapid.IntRange(0, 4).Draw(t, "open") == 0,
					Elsewhere: rapid.Bool().Draw(t, "elsewhere"), Arrival: now,
					StartBy:  now.Add(time.Duration(rapid.IntRange(-20, 200).Draw(t, "start")) * ms),
					Deadline: now.Add(time.Duration(rapid.IntRange(-20, 900).Draw(t, "deadline")) * ms),
				}
				waiting = append(waiting, e)
				_, evicted, ok := q.Offer(now, e, c, 0)
				if !ok {
					end(e, "refused")
				}
				if evicted != nil {
					end(evicted, "evicted")
				}
			case 2:
				if len(waiting) > 0 {
					e := rapid.SampledFrom(waiting).Draw(t, "cancelled")
					if !q.Remove(e) {
						t.Fatal("a waiting entry is not in the queue")
					}
					end(e, "cancelled")
				}
			case 3:
				for e, _ := q.Expire(now, c, 0); e != nil; e, _ = q.Expire(now, c, 0) {
					end(e, "expired")
				}
			case 4:
				if c.Free == 0 {
					continue
				}
				if e := q.Next(now, c); e != nil {
					if !c.Connections && !e.Open {
						t.Fatal("an entry without a connection was granted")
					}
					if rapid.IntRange(0, 5).Draw(t, "unusable") == 0 {
						q.Restore(now, e)
						continue
					}
					end(e, "granted")
					running = append(running, e)
				} else if c.Connections && len(waiting) > 0 {
					t.Fatal("a slot stays free while entries wait")
				}
			case 5:
				if len(running) > 0 {
					q.Finish(running[0], time.Duration(rapid.IntRange(0, 90).Draw(t, "takes"))*ms)
					running = running[1:]
				}
			}
			open := 0
			for _, e := range waiting {
				if e.Open {
					open++
				}
			}
			if q.Len() != len(waiting) || q.Len()-open > limit {
				t.Fatalf("%d entries, want %d, limit %d", q.Len(), len(waiting), limit)
			}
		}
	})
}

// BenchmarkOffer measures an entry that enters and leaves a queue of some length.
func BenchmarkOffer(b *testing.B) {
	for _, waiting := range []int{40, 400, 4000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q, c := New(Config{Limit: 2 * waiting}), Capacity{Slots: 4, Connections: true}
			names := make([]string, 75)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			fill := func(e *Entry, i int) *Entry {
				e.Workspace, e.Priority = names[i%len(names)], i%3
				e.StartBy = model.Time(time.Hour) + model.Time(i*7919%waiting)
				e.Deadline = e.StartBy + model.Time(time.Hour)
				return e
			}
			for i := range waiting {
				q.Offer(0, fill(&Entry{}, i), c, 0)
			}
			entry := &Entry{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Offer(0, fill(entry, i), c, 0)
				q.Remove(entry)
			}
		})
	}
}

// BenchmarkNext measures a grant from a queue of some length, with the next arrival.
func BenchmarkNext(b *testing.B) {
	q, c := New(Config{Limit: 8000}), Capacity{Slots: 4, Free: 1, Connections: true}
	for i := range 4000 {
		q.Offer(0, &Entry{Workspace: fmt.Sprint(i % 75), Priority: i % 3, StartBy: model.Time(time.Hour), Deadline: model.Time(time.Hour)}, c, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		e := q.Next(0, c)
		q.Finish(e, 18*ms)
		q.Offer(0, e, c, 0)
	}
}
