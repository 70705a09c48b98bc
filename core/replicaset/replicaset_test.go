package replicaset

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	ms    = time.Millisecond
	start = model.Time(time.Hour)
)

func pos(term, number uint64) model.Position {
	return model.Position{Term: model.Term{Counter: term}, Pos: model.LogPos(number)}
}

func entry(id string, primary bool) Registration {
	return Registration{
		ID: model.UpstreamID(id), Service: "db", Address: "10.0.0.1:1", Zone: model.Zone("zone-" + id),
		Slots: 3, Primary: primary, Sequence: 1, Incarnation: 1,
	}
}

// world is a State with a clock.
type world struct {
	*State
	now     model.Time
	effects []Effect
}

func newWorld() *world {
	w := &world{State: New(), now: start}
	w.list(entry("a", true), entry("b", false), entry("c", false))
	return w
}

func (w *world) apply(ev Event) { w.effects = w.Apply(w.now, &ev, w.effects[:0]) }

// list reads the entries of the store.
func (w *world) list(entries ...Registration) {
	w.apply(Event{Kind: EventRegistrations, SentAt: w.now, Registrations: entries})
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) status(id string, primary bool, term uint64, received model.Position) {
	w.apply(Event{Kind: EventStatus, Upstream: model.UpstreamID(id), SentAt: w.now, Status: Status{
		Primary: primary, Term: term, Received: received, Applied: received,
	}})
}

func (w *world) primary() model.UpstreamID {
	m, ok := w.Primary(w.now, "db")
	if !ok {
		return ""
	}
	return m.ID
}

func (w *world) floor(bound time.Duration, session model.Position) (model.Position, bool) {
	p, _, ok := w.Floor(w.now, "db", bound, session)
	return p, ok
}

func none(*Member) float64 { return 0 }

func (w *world) candidates(floor model.Position) string {
	ids := ""
	for _, c := range w.ReadCandidates(w.now, "db", floor, none) {
		ids += string(c.ID)
	}
	return ids
}

// Guards against reads that are older than the route allows: only proof that is
// young enough counts, and the oldest such proof is used.
func TestFloorIsTheOldestProofWithinTheBound(t *testing.T) {
	w := newWorld()
	if _, ok := w.floor(time.Second, model.Position{}); ok {
		t.Error("a floor without proof")
	}
	w.status("a", true, 1, pos(1, 10))
	w.pass(400 * ms)
	w.status("a", true, 1, pos(1, 20))
	w.pass(400 * ms)
	w.status("a", true, 1, pos(1, 30))
	w.pass(100 * ms)
	for bound, want := range map[time.Duration]model.Position{
		2000 * ms: pos(1, 10), 1000 * ms: pos(1, 20), 500 * ms: pos(1, 30),
	} {
		if got, ok := w.floor(bound, model.Position{}); !ok || got != want {
			t.Errorf("bound %s: floor %v, %t, want %v", bound, got, ok, want)
		}
	}
	if _, ok := w.floor(250*ms, model.Position{}); ok {
		t.Error("proof older than the bound was used")
	}
}

// Guards against a session that does not see its own commit, and against one
// that waits for a commit that a promotion rolled back.
func TestFloorOfASession(t *testing.T) {
	w := newWorld()
	w.status("a", true, 1, pos(1, 10))
	if got, _ := w.floor(time.Second, pos(1, 15)); got != pos(1, 15) {
		t.Errorf("floor %v is below the session's commit", got)
	}
	w.pass(time.Second)
	w.status("b", true, 2, pos(2, 12))
	if got, _ := w.floor(time.Second, pos(1, 15)); got != pos(2, 12) {
		t.Errorf("floor %v asks for a commit of an earlier term", got)
	}
}

// Guards against an upstream that lost its log and still calls itself the
// primary of its term.
func TestPrimaryWithoutItsLogIsNone(t *testing.T) {
	w := newWorld()
	w.status("a", true, 3, pos(3, 500))
	w.pass(100 * ms)
	w.status("a", true, 3, pos(3, 2))
	if got := w.primary(); got != "" {
		t.Errorf("primary %q", got)
	}
	if got, ok := w.floor(time.Second, model.Position{}); !ok || got != pos(3, 500) {
		t.Errorf("floor %v, %t after a false proof", got, ok)
	}
}

// Guards against an old primary that is believed again: neither its status nor
// a peer's report of an earlier term counts.
func TestNewerTermWins(t *testing.T) {
	w := newWorld()
	w.status("a", true, 3, pos(3, 500))
	w.status("b", true, 4, pos(4, 500))
	w.apply(Event{Kind: EventPrimary, Service: "db", Upstream: "a", Term: 3, SentAt: w.now})
	w.apply(Event{Kind: EventEvidence, Service: "db", Position: pos(3, 900), Term: 3, SentAt: w.now})
	if got := w.primary(); got != "b" {
		t.Errorf("primary %q, want b", got)
	}
	w.pass(10 * ms)
	if got, _ := w.floor(time.Second, model.Position{}); got != pos(3, 500) && got != pos(4, 500) {
		t.Errorf("floor %v comes from a report of an earlier term", got)
	}
	w.apply(Event{Kind: EventNotPrimary, Upstream: "b"})
	if got := w.primary(); got != "" {
		t.Errorf("primary %q after it refused a write", got)
	}
}

// Guards against work for upstreams that leave, are evacuated, are missing or
// have failed, and against a service that is left without any.
func TestReadCandidates(t *testing.T) {
	w := newWorld()
	w.status("a", true, 1, pos(1, 10))
	if got := w.candidates(pos(1, 10)); got != "bca" {
		t.Errorf("candidates %q: replicas go first", got)
	}
	w.apply(Event{Kind: EventFailed, Upstream: "b"})
	if got := w.candidates(pos(1, 10)); got != "cab" {
		t.Errorf("candidates %q after a failure", got)
	}
	w.apply(Event{Kind: EventServed, Upstream: "b", Position: pos(1, 10)})
	w.apply(Event{Kind: EventLagging, Upstream: "c", Position: pos(1, 10)})
	if got := w.candidates(pos(1, 10)); got != "bac" {
		t.Errorf("candidates %q while a replica lags", got)
	}
	w.apply(Event{Kind: EventEvacuations, Zones: []model.Zone{"zone-b"}})
	if got := w.candidates(pos(1, 10)); got != "ac" {
		t.Errorf("candidates %q while a zone is evacuated", got)
	}
	w.apply(Event{Kind: EventEvacuations})
	leaving := entry("c", false)
	leaving.Leaving, leaving.Sequence = true, 2
	w.apply(Event{Kind: EventRegistrations, Registrations: []Registration{entry("a", true), entry("b", false), leaving}})
	w.pass(fullWorkAfterNotice + ms)
	if got := w.candidates(pos(1, 10)); got != "bac" {
		t.Errorf("candidates %q: a leaving upstream goes last", got)
	}
	w.pass(lastWorkAfterNotice - fullWorkAfterNotice)
	if got := w.candidates(pos(1, 10)); got != "ba" {
		t.Errorf("candidates %q after the notice", got)
	}
}

// Guards against upstreams that count as gone although their entries are only
// late after the store's return.
func TestMissingEntries(t *testing.T) {
	w := newWorld()
	two := Event{Kind: EventRegistrations, Registrations: []Registration{entry("a", true), entry("b", false)}}
	w.apply(two)
	w.pass(2 * time.Second)
	w.apply(Event{Kind: EventStoreUnavailable})
	w.pass(5 * time.Second)
	w.apply(two)
	w.pass(2 * time.Second)
	w.apply(two)
	if _, ok := w.Member("c"); !ok {
		t.Fatal("an entry that is late after the store's return counts as gone")
	}
	w.pass(time.Second)
	w.apply(two)
	if _, ok := w.Member("c"); ok {
		t.Error("an entry that stays away does not count as gone")
	}
}

// Guards against what was known of an earlier incarnation, and against an entry
// that is older than the known one.
func TestRestartedUpstream(t *testing.T) {
	w := newWorld()
	w.status("b", false, 1, pos(1, 10))
	old := entry("b", false)
	old.Sequence = 0
	old.Address = "10.0.0.9:9"
	w.apply(Event{Kind: EventRegistrations, Registrations: []Registration{entry("a", true), old, entry("c", false)}})
	if m, _ := w.Member("b"); m.Address != "10.0.0.1:1" {
		t.Error("an older entry replaced a newer one")
	}
	again := entry("b", false)
	again.Incarnation, again.Sequence = 2, 0
	w.apply(Event{Kind: EventRegistrations, Registrations: []Registration{entry("a", true), again, entry("c", false)}})
	if m, _ := w.Member("b"); !m.Applied.IsZero() || m.StatusAt != 0 {
		t.Errorf("a restarted upstream keeps position %v", m.Applied)
	}
	if len(w.effects) != 1 || w.effects[0].Kind != EffectChanged {
		t.Errorf("effects %+v", w.effects)
	}
}

// Guards against reads that stop as soon as the primary does, and against proof
// from replicas that are not all of them.
func TestProofWithoutThePrimary(t *testing.T) {
	w := newWorld()
	w.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	w.status("a", true, 1, pos(1, 10))
	w.apply(Event{Kind: EventFailed, Upstream: "a"})
	w.pass(3 * time.Second)
	w.list(entry("a", true), entry("b", false), entry("c", false))
	w.status("b", false, 1, pos(1, 12))
	if _, ok := w.floor(time.Second, model.Position{}); ok {
		t.Fatal("one of two replicas counts as proof")
	}
	w.pass(100 * ms)
	w.status("c", false, 1, pos(1, 14))
	if got, ok := w.floor(time.Second, model.Position{}); !ok || got != pos(1, 14) {
		t.Errorf("floor %v, %t", got, ok)
	}
}

// Guards against proof from the replicas that a cut-off VM still knows: another
// one may have taken the place of one that is gone.
func TestNoProofFromSomeOfTheReplicas(t *testing.T) {
	for name, change := range map[string]func(*world){
		"a replica is gone": func(w *world) { w.apply(Event{Kind: EventReplaced, Upstream: "c"}) },
		"the list is old":   func(w *world) { w.pass(2 * time.Second) },
	} {
		w := newWorld()
		w.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
		w.status("a", true, 1, pos(1, 10))
		w.apply(Event{Kind: EventFailed, Upstream: "a"})
		w.pass(3 * time.Second)
		w.list(entry("a", true), entry("b", false), entry("c", false))
		change(w)
		w.status("b", false, 1, pos(1, 12))
		w.status("c", false, 1, pos(1, 12))
		if _, ok := w.floor(time.Second, model.Position{}); ok {
			t.Errorf("%s: the others count as proof", name)
		}
	}
}

// Guards against such proof where commits are acknowledged without a replica.
func TestNoProofWithoutThePrimaryIfCommitsNeedNoReplica(t *testing.T) {
	w := newWorld()
	w.status("a", true, 1, pos(1, 10))
	w.pass(3 * time.Second)
	w.status("b", false, 1, pos(1, 12))
	w.status("c", false, 1, pos(1, 14))
	if _, ok := w.floor(time.Second, model.Position{}); ok {
		t.Error("replicas prove what only the primary knows")
	}
}

// Guards against an upstream that counts until its entry lapses although its
// address answers for another one.
func TestReplacedUpstreamIsGone(t *testing.T) {
	w := newWorld()
	w.apply(Event{Kind: EventReplaced, Upstream: "c"})
	w.apply(Event{Kind: EventRegistrations, Registrations: []Registration{entry("a", true), entry("b", false), entry("c", false)}})
	if _, ok := w.Member("c"); ok {
		t.Error("the entry of a replaced upstream brought it back")
	}
	again := entry("c", false)
	again.Incarnation = 2
	w.apply(Event{Kind: EventRegistrations, Registrations: []Registration{entry("a", true), entry("b", false), again}})
	if _, ok := w.Member("c"); !ok {
		t.Error("a new incarnation does not count")
	}
}

// Guards against an old primary that comes back by hearsay: peers that have not
// heard of its replacement still name it.
func TestHearsayDoesNotBringBackAnOldPrimary(t *testing.T) {
	w := newWorld()
	w.status("a", true, 3, pos(3, 500))
	w.apply(Event{Kind: EventNotPrimary, Upstream: "a"})
	w.pass(100 * ms)
	w.apply(Event{Kind: EventPrimary, Service: "db", Upstream: "a", Term: 3, SentAt: w.now})
	if got := w.primary(); got != "" {
		t.Errorf("primary %q", got)
	}
	w.apply(Event{Kind: EventPrimary, Service: "db", Upstream: "a", Term: 4, SentAt: w.now})
	if got := w.primary(); got != "a" {
		t.Errorf("primary %q of a later term", got)
	}
}

// Guards against a group that counts as complete after an upstream went without
// notice, and against one that never does again.
func TestIncompleteUntilAReplicaHasCaughtUp(t *testing.T) {
	w := newWorld()
	w.status("a", true, 1, pos(1, 10))
	w.apply(Event{Kind: EventReplaced, Upstream: "c"})
	if !w.Views()[0].Incomplete {
		t.Fatal("the group counts as complete")
	}
	w.pass(100 * ms)
	w.status("a", true, 1, pos(1, 20))
	w.status("b", false, 1, pos(1, 19))
	if !w.Views()[0].Incomplete {
		t.Error("the group counts as complete before a replica has caught up")
	}
	w.status("b", false, 1, pos(1, 20))
	if w.Views()[0].Incomplete {
		t.Error("the group stays incomplete")
	}
}

// Guards against new work for an upstream of a zone out of service, for one whose
// last work is over, and for one that is not known.
func TestEligible(t *testing.T) {
	s := New()
	registrations := []Registration{
		{ID: "stays", Service: "db", Zone: "a"}, {ID: "leaves", Service: "db", Zone: "b", Leaving: true}, {ID: "out", Service: "db", Zone: "c"},
	}
	start := model.Time(time.Hour)
	s.Apply(start, &Event{Kind: EventRegistrations, Registrations: registrations, SentAt: start}, nil)
	s.Apply(start, &Event{Kind: EventEvacuations, Zones: []model.Zone{"c"}}, nil)
	later := start.Add(lastWorkAfterNotice + time.Millisecond)
	for id, want := range map[model.UpstreamID][2]bool{
		"stays": {true, true}, "leaves": {true, false}, "out": {false, false}, "unknown": {false, false},
	} {
		if got := [2]bool{s.Eligible(start, id), s.Eligible(later, id)}; got != want {
			t.Errorf("%s: takes work %v, want %v", id, got, want)
		}
	}
}
