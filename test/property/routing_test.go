package property

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/routing"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	routingChecks = 200
	routingSteps  = 1000
	batchTimeout  = 300 * time.Millisecond
	// The documented retry budget: one retry for five requests, and a burst of 100.
	requestsPerRetry, retryBurst = 5, 100
)

// batchModel is the expected state of one batch.
type batchModel struct {
	// ev is the BatchRequested event.
	ev routing.Event
	// class is Write if the batch was requested as one or an upstream refused it
	// as one.
	class   model.Class
	attempt uint32
	// upstream is the target of the attempt in flight, empty if there is none.
	upstream model.UpstreamID
	// mayHaveRun counts the attempts that may have run.
	mayHaveRun int
	// primaryEvents is routingSimulation.primaryEvents as of the last attempt.
	primaryEvents int
}

func (b *batchModel) needsPrimary() bool { return b.class == model.Write || b.ev.MaxAge == 0 }

// routingSimulation simulates a group of four upstreams with random answers,
// and checks the effects of routing.
type routingSimulation struct {
	rng
	t     *rapid.T
	now   model.Time
	state *routing.State
	// upstreams are the members of the group as configured.
	upstreams []routing.Upstream
	// primary is the index of the primary in term.
	primary int
	term    model.Term
	// openBatches has the batches that have not ended, openIDs their IDs in the
	// order of the requests.
	openBatches map[uint64]*batchModel
	openIDs     []uint64
	sentAnswers []routing.Event
	// mainUnreachableSince is when the main holder of an upstream was last reported
	// unreachable, 0 if it was reported reachable after that.
	mainUnreachableSince map[model.UpstreamID]model.Time
	// requests counts all batches, retries those attempts that are charged to the
	// budget.
	requests, retries map[model.Workspace]int
	// primaryEvents counts the events that may have made a primary known.
	primaryEvents int
	// newestTerm is the newest term in a hint so far.
	newestTerm model.Term
	// probeBatch is the batch whose retry was last counted as a probe, at
	// probeStarted.
	probeBatch   uint64
	probeStarted model.Time
	// refusalPercent is the percentage of attempts that are refused.
	refusalPercent int
}

func newRoutingSimulation(t *rapid.T) *routingSimulation {
	w := &routingSimulation{
		t: t, now: model.Time(time.Hour), state: routing.New("z0"), openBatches: make(map[uint64]*batchModel),
		mainUnreachableSince: make(map[model.UpstreamID]model.Time),
		requests:             make(map[model.Workspace]int), retries: make(map[model.Workspace]int),
	}
	for i := range 4 {
		n := strconv.Itoa(i)
		w.upstreams = append(w.upstreams, routing.Upstream{ID: model.UpstreamID("u" + n), Zone: model.Zone("z" + n)})
	}
	w.configure()
	return w
}

func (w *routingSimulation) configure() {
	w.apply(routing.Event{Kind: routing.GroupConfigured, Upstreams: slices.Clone(w.upstreams)})
}

// apply applies an event, checks the effects and returns their number.
func (w *routingSimulation) apply(ev routing.Event) int {
	ev.Database = "db"
	out := w.state.Apply(w.now, &ev, nil)
	for i := range out {
		e := &out[i]
		b := w.openBatches[e.ID]
		switch {
		case b == nil:
			w.t.Fatalf("effect %d for batch %d, which is not open", e.Kind, e.ID)
		case e.Kind == routing.Send:
			w.checkSend(b, e)
		default:
			w.checkFail(b, e)
		}
	}
	return len(out)
}

func (w *routingSimulation) checkSend(b *batchModel, e *routing.Effect) {
	if b.upstream != "" || e.Attempt != b.attempt+1 {
		w.t.Fatalf("batch %d: attempt %d sent after attempt %d, or while that is in flight", e.ID, e.Attempt, b.attempt)
	}
	if b.class == model.Write && !b.ev.Idempotent && b.mayHaveRun > 0 {
		w.t.Fatalf("batch %d may have run and is sent again", e.ID)
	}
	i := slices.IndexFunc(w.upstreams, func(u routing.Upstream) bool { return u.ID == e.Upstream })
	if u := w.upstreams[i]; b.class == model.Read && b.ev.MaxAge > 0 && (u.Drained || u.Leaving) {
		w.t.Fatalf("read %d is sent to %s, which is drained or leaving", e.ID, u.ID)
	}
	if since := w.mainUnreachableSince[e.Upstream]; e.Standby && (since == 0 || w.now.Sub(since) >= time.Second) {
		w.t.Fatalf("batch %d is sent to the standby holder of %s, whose main holder is reachable", e.ID, e.Upstream)
	}
	if e.Attempt > 1 && !w.isExemptFromBudget(e.ID, b) {
		w.countRetry(b.ev.Workspace)
	}
	b.primaryEvents = w.primaryEvents
	b.attempt = e.Attempt
	b.upstream = e.Upstream
}

// probeTimeout is how long a batch is the only one that may probe for the
// primary.
const probeTimeout = 100 * time.Millisecond

// isExemptFromBudget reports whether a retry is allowed without the budget. It
// has to be of a batch that needs the primary and certainly did not run, and
// either the first one since an event that may have made a primary known, or
// the only probe.
func (w *routingSimulation) isExemptFromBudget(id uint64, b *batchModel) bool {
	if !b.needsPrimary() || b.mayHaveRun > 0 {
		return false
	}
	if b.primaryEvents < w.primaryEvents {
		return true
	}
	other := w.openBatches[w.probeBatch]
	if other != nil && other.upstream != "" && w.now.Sub(w.probeStarted) < probeTimeout {
		return false
	}
	w.probeBatch, w.probeStarted = id, w.now
	return true
}

// observeTerm counts a hint if its term is the newest so far.
func (w *routingSimulation) observeTerm(t model.Term) {
	if w.newestTerm.Less(t) {
		w.newestTerm = t
		w.primaryEvents++
	}
}

// countRetry checks a retry that is not exempt against the workspace's budget.
func (w *routingSimulation) countRetry(workspace model.Workspace) {
	w.retries[workspace]++
	if w.retries[workspace] > w.requests[workspace]/requestsPerRetry+retryBurst {
		w.t.Fatalf("%d retries for %d requests exceed the retry budget", w.retries[workspace], w.requests[workspace])
	}
}

func (w *routingSimulation) checkFail(b *batchModel, e *routing.Effect) {
	if e.NotRun && b.mayHaveRun > 0 {
		w.t.Fatalf("batch %d fails as not run but may have run", e.ID)
	}
	if b.class == model.Write && b.mayHaveRun > 0 && e.Code != sqlstate.OutcomeUnknown {
		w.t.Fatalf("write %d may have run and fails with %s instead of OutcomeUnknown", e.ID, e.Code)
	}
	if !e.NotRun && b.mayHaveRun == 0 {
		w.t.Fatalf("batch %d did not run but does not fail as not run", e.ID)
	}
	w.closeBatch(e.ID)
}

func (w *routingSimulation) closeBatch(id uint64) {
	delete(w.openBatches, id)
	w.openIDs = slices.DeleteFunc(w.openIDs, func(other uint64) bool { return other == id })
}

func (w *routingSimulation) request(id uint64) {
	ev := routing.Event{
		Kind: routing.BatchRequested, ID: id, Workspace: model.Workspace("w" + strconv.Itoa(w.intN(2))),
		Deadline: w.now.Add(batchTimeout), Idempotent: w.chance(20), Seed: w.uint64(),
	}
	if w.chance(70) {
		ev.Class = model.Read
		ev.MaxAge = time.Duration(w.intN(2)) * time.Second
		ev.HasFloor = w.chance(50)
		ev.Floor = model.Position{Term: w.term, Pos: model.LogPos(w.intN(100))}
	}
	w.requests[ev.Workspace]++
	w.openBatches[id] = &batchModel{ev: ev, class: ev.Class}
	w.openIDs = append(w.openIDs, id)
	w.apply(ev)
}

// answer ends the attempt of a random batch with a random outcome.
func (w *routingSimulation) answer() {
	if len(w.openIDs) == 0 {
		return
	}
	id := w.openIDs[w.intN(len(w.openIDs))]
	b := w.openBatches[id]
	if b.upstream == "" {
		return
	}
	ev := routing.Event{Kind: routing.AttemptEnded, ID: id, Attempt: b.attempt, Upstream: b.upstream}
	if w.chance(60) {
		ev.Primary, ev.PrimaryTerm = w.upstreams[w.primary].ID, w.term
		ev.Applied = model.Position{Term: w.term, Pos: model.LogPos(w.intN(100))}
	}
	w.chooseOutcome(b, &ev)
	w.observeTerm(ev.PrimaryTerm)
	if ev.Outcome == routing.Done && b.needsPrimary() {
		w.primaryEvents++
	}
	w.sentAnswers = append(w.sentAnswers, ev)
	b.upstream = ""
	if ev.Outcome == routing.Done {
		w.closeBatch(id)
	}
	w.apply(ev)
}

func (w *routingSimulation) chooseOutcome(b *batchModel, ev *routing.Event) {
	codes := []sqlstate.Code{
		sqlstate.NoPrimary, sqlstate.NoFreshReplica, sqlstate.NoMajority, sqlstate.UpstreamUnavailable,
		sqlstate.QueueFull, sqlstate.ZoneDrained, sqlstate.ReadOnly, sqlstate.KeyWithdrawn,
	}
	isPrimary := b.upstream == w.upstreams[w.primary].ID
	switch n := w.intN(100); {
	case b.class == model.Write && !isPrimary:
		ev.Outcome, ev.Code = routing.Refused, sqlstate.NoPrimary
	case n < w.refusalPercent:
		ev.Outcome, ev.Code = routing.Refused, codes[w.intN(len(codes))]
	case n < 80:
		ev.Outcome = routing.Done
	case n < 87:
		ev.Outcome = routing.FailedNotSent
	case n < 97:
		ev.Outcome = routing.FailedMaybeSent
	default:
		ev.Outcome = routing.FailedMidResponse
	}
	if ev.Outcome == routing.FailedMaybeSent || ev.Outcome == routing.FailedMidResponse {
		b.mayHaveRun++
	}
	if ev.Code == sqlstate.ReadOnly {
		b.class = model.Write
	}
}

// repeatAnswer delivers an earlier answer again, which must have no effect.
func (w *routingSimulation) repeatAnswer() {
	if len(w.sentAnswers) == 0 {
		return
	}
	ev := w.sentAnswers[w.intN(len(w.sentAnswers))]
	if n := w.apply(ev); n != 0 {
		w.t.Fatalf("a repeated answer to attempt %d of batch %d has %d effects", ev.Attempt, ev.ID, n)
	}
}

// changeGroup changes the primary, the configuration or the reachability of a
// holder, or reports the primary.
func (w *routingSimulation) changeGroup() {
	i := w.intN(len(w.upstreams))
	switch w.intN(5) {
	case 0:
		w.primary = i
		w.term = w.term.Next("p")
	case 1:
		w.upstreams[i].Drained = w.chance(40)
		w.configure()
	case 2:
		w.upstreams[i].Leaving = w.chance(40)
		w.configure()
	case 3:
		w.observeTerm(w.term)
		w.apply(routing.Event{Kind: routing.PrimaryKnown, Primary: w.upstreams[w.primary].ID, PrimaryTerm: w.term})
	case 4:
		w.changeHolder(w.upstreams[i].ID)
	}
}

func (w *routingSimulation) changeHolder(u model.UpstreamID) {
	ev := routing.Event{Kind: routing.HolderReachable, Upstream: u, Standby: w.chance(30)}
	since := model.Time(0)
	if w.chance(50) {
		ev.Kind = routing.HolderUnreachable
		since = w.now
	}
	if !ev.Standby {
		w.mainUnreachableSince[u] = since
	}
	w.apply(ev)
}

func (w *routingSimulation) step(id uint64) {
	w.now += model.Time(w.intN(3000)) * model.Time(time.Microsecond)
	switch n := w.intN(100); {
	case n < 20:
		w.request(id)
	case n < 70:
		w.answer()
	case n < 75:
		w.repeatAnswer()
	case n < 85:
		w.tick()
	case n < 95:
		w.changeGroup()
	case len(w.openIDs) > 0:
		id := w.openIDs[w.intN(len(w.openIDs))]
		w.closeBatch(id)
		w.apply(routing.Event{Kind: routing.BatchCanceled, ID: id})
	}
}

// tick applies a Tick, after which no batch may wait beyond its deadline.
func (w *routingSimulation) tick() {
	w.apply(routing.Event{Kind: routing.Tick})
	for id, b := range w.openBatches {
		if b.upstream == "" && w.now >= b.ev.Deadline {
			w.t.Fatalf("batch %d waits beyond its deadline", id)
		}
	}
}

// TestRouting guards against running a non-idempotent write twice, reporting a
// batch that may have run as not run, reads on drained or leaving upstreams, use
// of the standby holder while the main one is reachable, retries that exceed the
// budget, repeated answers that take effect, and batches that end twice or never.
//
// It has been verified to fail with these mutations of core/routing and messages:
//   - retry any batch after bytes may have been sent; retry after a refusal with
//     25006 that follows such an attempt: "may have run and is sent again"
//   - ignore the number of the attempt: "attempt 3 sent after attempt 2"
//   - choose drained and leaving upstreams: "is sent to ..., which is drained"
//   - report every failure as not run: "fails as not run but may have run"
//   - ignore deadlines while waiting: "waits beyond its deadline"
//
// It does not detect a budget that is not debited: a run has too few retries that
// are charged to it. TestRefusedWritesConsumeBudget of core/routing detects that.
func TestRouting(t *testing.T) {
	checkWithFixedSeed(t, routingChecks, func(rt *rapid.T) {
		w := newRoutingSimulation(rt)
		w.draw(rt)
		w.refusalPercent = w.intN(90)
		for id := range uint64(routingSteps) {
			w.draw(rt)
			w.step(id)
		}
		w.now = w.now.Add(batchTimeout)
		w.tick()
		for id, b := range w.openBatches {
			if b.upstream == "" {
				rt.Fatalf("batch %d has neither ended nor an attempt in flight", id)
			}
		}
	})
}
