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

func registration(id string, primary bool) Registration {
	return Registration{
		ID: model.UpstreamID(id), Service: "db", Address: "10.0.0.1:1", Zone: model.Zone("zone-" + id),
		Slots: 3, Primary: primary, Sequence: 1, Incarnation: 1,
	}
}

// fixture is a State with a manual clock and the effects of the last event.
type fixture struct {
	*State
	now     model.Time
	effects []Effect
}

func newFixture() *fixture {
	f := &fixture{State: New(), now: start}
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
	f.advance(ms)
	return f
}

func (f *fixture) apply(ev Event) { f.effects = f.Apply(f.now, &ev, f.effects[:0]) }

// setRegistrations applies a complete list of registrations.
func (f *fixture) setRegistrations(entries ...Registration) {
	f.apply(Event{Kind: EventRegistrations, SentAt: f.now, Registrations: entries})
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// status applies the status of an upstream. A primary is then also confirmed for a
// second, as by the holder of the promotion lease.
func (f *fixture) status(id string, primary bool, term uint64, received model.Position) {
	f.unconfirmedStatus(id, primary, term, received)
	if primary {
		f.confirm(id, term, time.Second)
	}
}

// confirm applies a confirmation of a primary for the next d.
func (f *fixture) confirm(id string, term uint64, d time.Duration) {
	f.apply(Event{Kind: EventConfirmed, Upstream: model.UpstreamID(id), Term: term, SentAt: f.now, Until: f.now.Add(d)})
}

func (f *fixture) unconfirmedStatus(id string, primary bool, term uint64, received model.Position) {
	f.apply(Event{Kind: EventStatus, Upstream: model.UpstreamID(id), SentAt: f.now, Status: Status{
		Primary: primary, Term: term, Received: received, Applied: received,
	}})
}

func (f *fixture) primary() model.UpstreamID {
	m, ok := f.Primary(f.now, "db")
	if !ok {
		return ""
	}
	return m.ID
}

func (f *fixture) floor(bound time.Duration, session model.Position) (model.Position, bool) {
	p, _, ok := f.Floor(f.now, "db", bound, session)
	return p, ok
}

func noLoad(*Member) float64 { return 0 }

func (f *fixture) candidates(floor model.Position) string {
	ids := ""
	for _, c := range f.ReadCandidates(f.now, "db", floor, noLoad) {
		ids += string(c.ID)
	}
	return ids
}

// Guards against reads that are staler than the route allows. Only evidence within
// the bound counts, and the oldest such evidence gives the lowest floor.
func TestFloorIsTheOldestEvidenceWithinTheBound(t *testing.T) {
	f := newFixture()
	if _, ok := f.floor(time.Second, model.Position{}); ok {
		t.Error("floor without evidence")
	}
	f.status("a", true, 1, pos(1, 10))
	f.advance(400 * ms)
	f.status("a", true, 1, pos(1, 20))
	f.advance(400 * ms)
	f.status("a", true, 1, pos(1, 30))
	f.advance(100 * ms)
	for bound, want := range map[time.Duration]model.Position{
		2000 * ms: pos(1, 10), 1000 * ms: pos(1, 20), 500 * ms: pos(1, 30),
	} {
		if got, ok := f.floor(bound, model.Position{}); !ok || got != want {
			t.Errorf("bound %s: floor %v, %t, want %v", bound, got, ok, want)
		}
	}
	if _, ok := f.floor(250*ms, model.Position{}); ok {
		t.Error("evidence older than the bound was used")
	}
}

// Guards against a session that does not see its own commit, and against a session
// that waits for a commit that a promotion has rolled back.
func TestFloorOfASession(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	if got, _ := f.floor(time.Second, pos(1, 15)); got != pos(1, 15) {
		t.Errorf("floor %v is below the session's own commit", got)
	}
	f.advance(time.Second)
	f.status("b", true, 2, pos(2, 12))
	if got, _ := f.floor(time.Second, pos(1, 15)); got != pos(2, 12) {
		t.Errorf("floor %v requires a commit of an earlier term", got)
	}
}

// Guards against accepting an upstream that has lost its log and still reports
// itself as the primary of its term.
func TestPrimaryThatLostItsLogIsRejected(t *testing.T) {
	f := newFixture()
	f.status("a", true, 3, pos(3, 500))
	f.advance(100 * ms)
	f.unconfirmedStatus("a", true, 3, pos(3, 2))
	if got := f.primary(); got != "" {
		t.Errorf("primary %q", got)
	}
	if got, ok := f.floor(time.Second, model.Position{}); !ok || got != pos(3, 500) {
		t.Errorf("floor %v, %t after a status with a lost log", got, ok)
	}
}

// Guards against accepting a former primary again: peers' reports and evidence of
// an earlier term are ignored.
func TestNewerTermWins(t *testing.T) {
	f := newFixture()
	f.status("a", true, 3, pos(3, 500))
	f.status("b", true, 4, pos(4, 500))
	f.apply(Event{Kind: EventPrimary, Service: "db", Upstream: "a", Term: 3, SentAt: f.now})
	f.apply(Event{Kind: EventEvidence, Service: "db", Position: pos(3, 900), Term: 3, SentAt: f.now})
	if got := f.primary(); got != "b" {
		t.Errorf("primary %q, want b", got)
	}
	f.advance(10 * ms)
	if got, _ := f.floor(time.Second, model.Position{}); got != pos(3, 500) && got != pos(4, 500) {
		t.Errorf("floor %v comes from evidence of an earlier term", got)
	}
	f.apply(Event{Kind: EventNotPrimary, Upstream: "b"})
	if got := f.primary(); got != "" {
		t.Errorf("primary %q although it refused a write", got)
	}
}

// Guards against reads on upstreams that are leaving, evacuated, lagging or failing
// while better candidates exist, and against excluding upstreams that could still
// serve as the last resort.
func TestReadCandidates(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	if got := f.candidates(pos(1, 10)); got != "bca" {
		t.Errorf("candidates %q, want replicas first", got)
	}
	f.apply(Event{Kind: EventFailed, Upstream: "b"})
	if got := f.candidates(pos(1, 10)); got != "cab" {
		t.Errorf("candidates %q after a failure", got)
	}
	f.apply(Event{Kind: EventServed, Upstream: "b", Position: pos(1, 10)})
	f.apply(Event{Kind: EventLagging, Upstream: "c", Position: pos(1, 10)})
	if got := f.candidates(pos(1, 10)); got != "bac" {
		t.Errorf("candidates %q while a replica is lagging", got)
	}
	f.apply(Event{Kind: EventEvacuations, Zones: []model.Zone{"zone-b"}})
	if got := f.candidates(pos(1, 10)); got != "ac" {
		t.Errorf("candidates %q while a zone is evacuated", got)
	}
	f.apply(Event{Kind: EventEvacuations})
	leaving := registration("c", false)
	leaving.Leaving, leaving.Sequence = true, 2
	f.apply(Event{Kind: EventRegistrations, Registrations: []Registration{registration("a", true), registration("b", false), leaving}})
	f.advance(leavingDemoteAfter + ms)
	if got := f.candidates(pos(1, 10)); got != "bac" {
		t.Errorf("candidates %q, want the leaving upstream last", got)
	}
	f.advance(leavingExcludeAfter - leavingDemoteAfter)
	if got := f.candidates(pos(1, 10)); got != "ba" {
		t.Errorf("candidates %q after leavingExcludeAfter", got)
	}
}

// Guards against removing upstreams whose registrations are only late after the
// store answers again.
func TestMissingRegistrations(t *testing.T) {
	f := newFixture()
	two := Event{Kind: EventRegistrations, Registrations: []Registration{registration("a", true), registration("b", false)}}
	f.apply(two)
	f.advance(2 * time.Second)
	f.apply(Event{Kind: EventStoreUnavailable})
	f.advance(5 * time.Second)
	f.apply(two)
	f.advance(2 * time.Second)
	f.apply(two)
	if _, ok := f.Member("c"); !ok {
		t.Fatal("an upstream was removed although its registration may only be late")
	}
	f.advance(time.Second)
	f.apply(two)
	if _, ok := f.Member("c"); ok {
		t.Error("an upstream whose registration stays missing was not removed")
	}
}

// Guards against keeping the state of an earlier incarnation, and against a
// registration that is older than the known one.
func TestRestartedUpstream(t *testing.T) {
	f := newFixture()
	f.status("b", false, 1, pos(1, 10))
	old := registration("b", false)
	old.Sequence = 0
	old.Address = "10.0.0.9:9"
	f.apply(Event{Kind: EventRegistrations, Registrations: []Registration{registration("a", true), old, registration("c", false)}})
	if m, _ := f.Member("b"); m.Address != "10.0.0.1:1" {
		t.Error("an older registration replaced a newer one")
	}
	again := registration("b", false)
	again.Incarnation, again.Sequence = 2, 0
	f.apply(Event{Kind: EventRegistrations, Registrations: []Registration{registration("a", true), again, registration("c", false)}})
	if m, _ := f.Member("b"); !m.Applied.IsZero() || m.StatusAt != 0 {
		t.Errorf("a restarted upstream kept position %v", m.Applied)
	}
	if len(f.effects) != 1 || f.effects[0].Kind != EffectChanged {
		t.Errorf("effects %+v", f.effects)
	}
}

// Guards against refusing reads as soon as the primary fails, and against evidence
// from only some of the replicas.
func TestReplicaEvidenceWithoutPrimary(t *testing.T) {
	f := newFixture()
	f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	f.status("a", true, 1, pos(1, 10))
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.advance(3 * time.Second)
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
	f.status("b", false, 1, pos(1, 12))
	if _, ok := f.floor(time.Second, model.Position{}); ok {
		t.Fatal("evidence from one of two replicas")
	}
	f.advance(100 * ms)
	f.status("c", false, 1, pos(1, 14))
	if got, ok := f.floor(time.Second, model.Position{}); !ok || got != pos(1, 14) {
		t.Errorf("floor %v, %t", got, ok)
	}
}

// Guards against evidence from the replicas that an isolated VM still knows: a
// removed replica may have a replacement that the VM does not know.
func TestNoReplicaEvidenceFromSomeReplicas(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"a replica was replaced": func(f *fixture) { f.apply(Event{Kind: EventReplaced, Upstream: "c"}) },
		"the list is stale":      func(f *fixture) { f.advance(2 * time.Second) },
	} {
		f := newFixture()
		f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
		f.status("a", true, 1, pos(1, 10))
		f.apply(Event{Kind: EventFailed, Upstream: "a"})
		f.advance(3 * time.Second)
		f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
		change(f)
		f.status("b", false, 1, pos(1, 12))
		f.status("c", false, 1, pos(1, 12))
		if _, ok := f.floor(time.Second, model.Position{}); ok {
			t.Errorf("%s: evidence from the remaining replicas", name)
		}
	}
}

// Guards against evidence from replicas where commits are acknowledged before a
// replica has received them.
func TestNoReplicaEvidenceWithoutSyncReplicas(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	f.advance(3 * time.Second)
	f.status("b", false, 1, pos(1, 12))
	f.status("c", false, 1, pos(1, 14))
	if _, ok := f.floor(time.Second, model.Position{}); ok {
		t.Error("evidence from replicas without synchronous replication")
	}
}

// Guards against keeping an upstream until its registration expires although
// another upstream already answers at its address.
func TestReplacedUpstreamIsRemoved(t *testing.T) {
	f := newFixture()
	f.apply(Event{Kind: EventReplaced, Upstream: "c"})
	f.apply(Event{Kind: EventRegistrations, Registrations: []Registration{registration("a", true), registration("b", false), registration("c", false)}})
	if _, ok := f.Member("c"); ok {
		t.Error("the registration of a replaced upstream added it again")
	}
	again := registration("c", false)
	again.Incarnation = 2
	f.apply(Event{Kind: EventRegistrations, Registrations: []Registration{registration("a", true), registration("b", false), again}})
	if _, ok := f.Member("c"); !ok {
		t.Error("a new incarnation was not added")
	}
}

// Guards against restoring a former primary because of reports from peers that have
// not learned yet that it is no longer the primary.
func TestStalePeerReportDoesNotRestorePrimary(t *testing.T) {
	f := newFixture()
	f.status("a", true, 3, pos(3, 500))
	f.apply(Event{Kind: EventNotPrimary, Upstream: "a"})
	f.advance(100 * ms)
	f.apply(Event{Kind: EventPrimary, Service: "db", Upstream: "a", Term: 3, SentAt: f.now})
	if got := f.primary(); got != "" {
		t.Errorf("primary %q", got)
	}
	f.apply(Event{Kind: EventPrimary, Service: "db", Upstream: "a", Term: 4, SentAt: f.now})
	if got := f.primary(); got != "a" {
		t.Errorf("primary %q, want a, which is reported for a later term", got)
	}
}

// Guards against a group that counts as complete right after an upstream was
// replaced, and against one that stays incomplete after a replica has caught up.
func TestIncompleteUntilAReplicaHasCaughtUp(t *testing.T) {
	f := newFixture()
	f.status("a", true, 1, pos(1, 10))
	f.apply(Event{Kind: EventReplaced, Upstream: "c"})
	if !f.Views()[0].Incomplete {
		t.Fatal("the group counts as complete after an upstream was replaced")
	}
	f.advance(100 * ms)
	f.status("a", true, 1, pos(1, 20))
	f.status("b", false, 1, pos(1, 19))
	if !f.Views()[0].Incomplete {
		t.Error("the group counts as complete before a replica has caught up")
	}
	f.status("b", false, 1, pos(1, 20))
	if f.Views()[0].Incomplete {
		t.Error("the group is still incomplete after a replica has caught up")
	}
}

// Guards against new requests to an upstream in an evacuated zone, to one past
// leavingExcludeAfter, and to an unknown one.
func TestEligible(t *testing.T) {
	s := New()
	registrations := []Registration{
		{ID: "stays", Service: "db", Zone: "a"}, {ID: "leaves", Service: "db", Zone: "b", Leaving: true}, {ID: "out", Service: "db", Zone: "c"},
	}
	start := model.Time(time.Hour)
	s.Apply(start, &Event{Kind: EventRegistrations, Registrations: registrations, SentAt: start}, nil)
	s.Apply(start, &Event{Kind: EventEvacuations, Zones: []model.Zone{"c"}}, nil)
	later := start.Add(leavingExcludeAfter + time.Millisecond)
	for id, want := range map[model.UpstreamID][2]bool{
		"stays": {true, true}, "leaves": {true, false}, "out": {false, false}, "unknown": {false, false},
	} {
		if got := [2]bool{s.Eligible(start, id), s.Eligible(later, id)}; got != want {
			t.Errorf("%s: eligible %v, want %v", id, got, want)
		}
	}
}

// Guards against reads on a replica that lacks acknowledged commits, after a start of the
// VM while the entries of upstreams come back after an outage of the store: a replica
// that is not listed yet may be the only one that has received a commit.
func TestNoReplicaEvidenceFromFirstLists(t *testing.T) {
	f := &fixture{State: New(), now: start}
	f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	f.setRegistrations(registration("a", true), registration("b", false))
	f.status("a", true, 1, pos(1, 10))
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.advance(1300 * ms)
	f.setRegistrations(registration("a", true), registration("b", false))
	f.status("b", false, 1, pos(1, 10))
	if _, ok := f.floor(time.Second, model.Position{}); ok {
		t.Error("evidence from the one replica in the first lists")
	}
}

// Guards against reads on a replica that lacks acknowledged commits, after another one
// was replaced or has lost its entry: it or its replacement may be the only one that has
// received a commit.
func TestNoReplicaEvidenceFromPartOfTheGroup(t *testing.T) {
	for name, lose := range map[string]func(*fixture){
		"replaced": func(f *fixture) { f.apply(Event{Kind: EventReplaced, Upstream: "c"}) },
		"entry expired": func(f *fixture) {
			f.setRegistrations(registration("a", true), registration("b", false))
			f.advance(MissingGracePeriod)
		},
	} {
		f := newFixture()
		f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
		f.advance(3 * time.Second)
		f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
		lose(f)
		f.setRegistrations(registration("a", true), registration("b", false))
		f.advance(100 * ms)
		f.status("a", true, 1, pos(1, 11))
		f.status("b", false, 1, pos(1, 11))
		f.apply(Event{Kind: EventFailed, Upstream: "a"})
		f.advance(1300 * ms)
		f.setRegistrations(registration("a", true), registration("b", false))
		f.status("b", false, 1, pos(1, 11))
		if _, ok := f.floor(time.Second, model.Position{}); ok {
			t.Errorf("%s: evidence from the remaining replica", name)
		}
	}
}

// Guards against evidence that is newer than the list of upstreams it relies on: a replica
// that was added since may be the only one that has received a commit.
func TestReplicaEvidenceIsNotNewerThanTheList(t *testing.T) {
	f := newFixture()
	f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	f.status("a", true, 1, pos(1, 10))
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.advance(3 * time.Second)
	f.setRegistrations(registration("a", true), registration("b", false), registration("c", false))
	f.advance(700 * ms)
	f.status("b", false, 1, pos(1, 12))
	f.status("c", false, 1, pos(1, 12))
	if _, age, ok := f.Floor(f.now, "db", 2*time.Second, model.Position{}); !ok || age < 700*ms {
		t.Errorf("evidence of age %v (%t) from a list of age %v", age, ok, 700*ms)
	}
}

// Guards against a planned replacement after which a group gives no evidence from its
// replicas any more.
func TestReplicaEvidenceAfterPlannedReplacement(t *testing.T) {
	f := newFixture()
	f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
	leaving := registration("c", false)
	leaving.Leaving, leaving.Sequence = true, 2
	f.setRegistrations(registration("a", true), registration("b", false), leaving, registration("d", false))
	for range 3 {
		f.advance(MissingGracePeriod)
		f.setRegistrations(registration("a", true), registration("b", false), registration("d", false))
	}
	f.status("a", true, 1, pos(1, 10))
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.advance(1300 * ms)
	f.setRegistrations(registration("a", true), registration("b", false), registration("d", false))
	f.status("b", false, 1, pos(1, 12))
	f.status("d", false, 1, pos(1, 12))
	if _, ok := f.floor(time.Second, model.Position{}); !ok {
		t.Error("no evidence from the replicas of a group that is complete again")
	}
}

// Guards against reads on a replica that lacks acknowledged commits, after another one has
// left that was the only one to receive them, and against a promotion without them: known
// by this VM, or before its start.
func TestGroupIsIncompleteAfterAReplicaHasLeft(t *testing.T) {
	leaving := registration("c", false)
	leaving.Leaving, leaving.Sequence = true, 2
	for name, before := range map[string][]Registration{
		"known":             {registration("a", true), registration("b", false), registration("d", false), leaving},
		"before this start": {registration("a", true), registration("b", false), registration("d", false)},
	} {
		f := &fixture{State: New(), now: start}
		f.apply(Event{Kind: EventSyncReplicas, Service: "db", SyncReplicas: 1})
		f.setRegistrations(before...)
		for range 4 {
			f.advance(MissingGracePeriod)
			f.setRegistrations(before[:3]...)
		}
		f.advance(100 * ms)
		f.status("a", true, 1, pos(1, 15))
		f.status("b", false, 1, pos(1, 10))
		f.status("d", false, 1, pos(1, 10))
		if !f.Views()[0].Incomplete {
			t.Errorf("%s: the group counts as complete", name)
		}
		f.apply(Event{Kind: EventFailed, Upstream: "a"})
		f.advance(1300 * ms)
		f.setRegistrations(before[:3]...)
		f.status("b", false, 1, pos(1, 10))
		f.status("d", false, 1, pos(1, 10))
		if _, ok := f.floor(time.Second, model.Position{}); ok {
			t.Errorf("%s: evidence from the remaining replicas", name)
		}
	}
}

// Guards against a first list whose answer was late: it was sent 2.4 s before the store
// returned, so that the next one, 0.1 s after the return, counts as complete.
func TestFirstListAnsweredLateIsNotComplete(t *testing.T) {
	f := &fixture{State: New(), now: start}
	sent := f.now
	f.advance(2400 * ms) // the store returns and answers with the entries that are back already
	f.apply(Event{Kind: EventRegistrations, SentAt: sent, Registrations: []Registration{registration("a", true), registration("b", false)}})
	f.advance(100 * ms)
	f.setRegistrations(registration("a", true), registration("b", false))
	if f.Views()[0].ListComplete {
		t.Error("the list is complete 100 ms after the first answer")
	}
}

// Guards against a list that never becomes complete on a VM whose own reads of the store
// fail now and then while peers send it lists.
func TestListBecomesCompleteByPeers(t *testing.T) {
	f := newFixture()
	for range 30 {
		f.advance(time.Second)
		f.apply(Event{Kind: EventStoreUnavailable}) // own read refused
		f.advance(500 * ms)
		f.setRegistrations(registration("a", true), registration("b", false), registration("c", false)) // from a peer
	}
	if !f.Views()[0].ListComplete {
		t.Error("list not complete after 45 s of lists from peers")
	}
}

// Guards against a group that for ever gives no evidence from its replicas after an unplanned
// replacement whose new upstream is listed before the entry of the lost one has gone.
func TestReplicaEvidenceAfterUnplannedReplacement(t *testing.T) {
	f := newSyncFixture()
	f.setRegistrations(registration("a", true), registration("b", false), registration("d", false), registration("c", false))
	for range 70 {
		f.advance(time.Second)
		f.setRegistrations(registration("a", true), registration("b", false), registration("d", false))
		f.status("a", true, 1, pos(1, 20))
		f.status("b", false, 1, pos(1, 20))
		f.status("d", false, 1, pos(1, 20))
	}
	f.apply(Event{Kind: EventFailed, Upstream: "a"})
	f.advance(1300 * ms)
	f.setRegistrations(registration("a", true), registration("b", false), registration("d", false))
	f.status("b", false, 1, pos(1, 20))
	f.status("d", false, 1, pos(1, 20))
	if e, _ := f.NewestEvidence("db"); f.now.Sub(e.At) > 100*ms {
		t.Errorf("newest evidence is %v old although all upstreams answered", f.now.Sub(e.At))
	}
}

// Guards against an upstream that has left and gets statements again, because the store
// has come back from a copy that still lists it. Later entries of the same upstream and
// of one that has started again count.
func TestEntryOfUpstreamThatHasLeftIsIgnored(t *testing.T) {
	f := newFixture()
	leave := func() {
		for range 2 {
			f.setRegistrations(registration("a", true), registration("b", false))
			f.advance(MissingGracePeriod)
		}
	}
	// isUsed applies an entry of c and reports whether c is used.
	isUsed := func(entry Registration) bool {
		f.setRegistrations(registration("a", true), registration("b", false), entry)
		_, found := f.Member("c")
		return found
	}
	leave()
	entry := registration("c", false)
	if isUsed(entry) {
		t.Error("the upstream is used again")
	}
	entry.Sequence++
	if !isUsed(entry) {
		t.Error("the upstream is not used although it has written again")
	}
	leave()
	entry.Incarnation, entry.Sequence = 2, 0
	if !isUsed(entry) {
		t.Error("the upstream is not used although it has started again")
	}
}
