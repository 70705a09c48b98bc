package promotion

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// The model runs the reducer against three upstreams and a platform in steps of
// modelStep. Every order and call may be lost, carried out without an answer, or
// carried out late; the primary and the holder of the duty may crash. A run is
// given by a scenario, so that all of them are tried in turn.
const (
	modelStep  = 100 * time.Millisecond
	modelSteps = 75
	// lateSteps is how much later a late order is carried out: longer than
	// most moves take.
	lateSteps = 13
	// promoteSteps is how long the platform takes to promote.
	promoteSteps = 5
	// successorSteps is how long the duty is free after its holder crashed.
	successorSteps = 22
	never          = -1
)

// mishap is what happens to an order or a call.
type mishap uint8

const (
	delivered mishap = iota
	dropped
	unanswered
	late
	mishaps
)

// scenario is one run.
type scenario struct {
	// commits tells which replica receives each commit first.
	commits int
	// leaves is true for a planned change, else the primary crashes.
	leaves bool
	// returns is the step at which a crashed primary comes back.
	returns int
	// holderDies is the step at which the holder crashes.
	holderDies int
	// mishaps by the number of the order or call.
	mishaps map[int]mishap
	// unfenced plants a fault: the replica c receives although it is fenced.
	unfenced bool
}

type modelServer struct {
	received int
	held     uint64
	alive    bool
}

type pendingOrder struct {
	at     int
	effect Effect
}

// world is the state of one run.
type modelWorld struct {
	scenario scenario
	step     int
	servers  map[model.UpstreamID]*modelServer
	leader   model.UpstreamID
	term     uint64
	acked    int
	token    uint64
	// next is the upstream that the platform is promoting, at nextAt.
	next   model.UpstreamID
	nextAt int
	late   []pendingOrder

	holder   *State
	revision uint64
	sent     int
	view     map[model.UpstreamID]replicaset.Member
	moves    int
	fault    string
}

var modelIDs = []model.UpstreamID{"a", "b", "c"}

func newModelWorld(s scenario) *modelWorld {
	w := &modelWorld{
		scenario: s, leader: "a", term: 1, servers: map[model.UpstreamID]*modelServer{},
		holder: New(), revision: 1, view: map[model.UpstreamID]replicaset.Member{}, nextAt: never,
	}
	for _, id := range modelIDs {
		w.servers[id] = &modelServer{alive: true}
		w.view[id] = replicaset.Member{Registration: replicaset.Registration{ID: id, Service: "db"}}
	}
	w.holder.Acquire(w.now(), w.revision)
	return w
}

func (w *modelWorld) now() model.Time {
	return model.Time(time.Hour).Add(time.Duration(w.step) * modelStep)
}

// run returns the breach of safety, or "".
func (s scenario) run() (fault string, moves int) {
	w := newModelWorld(s)
	for w.step = 0; w.step < modelSteps && w.fault == ""; w.step++ {
		w.happen()
		w.commit()
		w.observe()
		if w.holder.Holding() {
			for _, e := range w.holder.Tick(w.now(), w.input(), nil) {
				w.carryOut(e)
			}
		}
	}
	return w.fault, w.moves
}

const crashStep = 8

// happen applies what the scenario has for this step, and what is late.
func (w *modelWorld) happen() {
	if w.step == crashStep && !w.scenario.leaves {
		w.servers["a"].alive = false
	}
	if w.step == w.scenario.returns && !w.scenario.leaves {
		w.servers["a"].alive = true
	}
	if w.step == w.scenario.holderDies {
		w.holder = New()
	}
	if w.scenario.holderDies != never && w.step == w.scenario.holderDies+successorSteps {
		w.revision++
		w.holder.Acquire(w.now(), w.revision)
	}
	for _, p := range w.late {
		if p.at == w.step {
			w.apply(&p.effect)
		}
	}
	if w.nextAt == w.step {
		w.switchTo(w.next)
	}
}

// commit lets the primary write; a commit is acknowledged once a replica has it.
func (w *modelWorld) commit() {
	leader := w.servers[w.leader]
	if leader == nil || !leader.alive {
		return
	}
	leader.received++
	first := (w.step >> 1 & w.scenario.commits) != 0
	for i, id := range modelIDs {
		s := w.servers[id]
		ignores := w.scenario.unfenced && id == "c"
		if id == w.leader || !s.alive || s.held > 0 && !ignores {
			continue
		}
		// One of the replicas lags behind by a commit.
		behind := 0
		if (i%2 == 0) == first {
			behind = 1
		}
		s.received = max(s.received, leader.received-behind)
		if s.received == leader.received {
			w.acked = leader.received
		}
	}
}

// switchTo makes an upstream the primary and checks that it has every
// acknowledged commit.
func (w *modelWorld) switchTo(id model.UpstreamID) {
	s := w.servers[id]
	w.nextAt = never
	if !s.alive {
		return
	}
	if s.received < w.acked {
		w.fault = fmt.Sprintf("step %d: %s is promoted with %d of %d acknowledged commits", w.step, id, s.received, w.acked)
	}
	w.leader = id
	w.term++
	w.moves++
	for _, other := range w.servers {
		other.received = min(other.received, s.received)
		other.held = 0
	}
}

// observe refreshes what the holder knows by its regular status queries.
func (w *modelWorld) observe() {
	for _, id := range modelIDs {
		m := w.view[id]
		if !w.servers[id].alive {
			if m.FailedSince == 0 {
				m.FailedSince = w.now()
			}
			w.view[id] = m
			continue
		}
		w.view[id] = m
		if w.step%3 == 0 {
			w.answer(id)
		}
	}
}

// answer gives the holder the status of an upstream.
func (w *modelWorld) answer(id model.UpstreamID) {
	s := w.servers[id]
	m := w.view[id]
	m.Leaving = w.scenario.leaves && id == "a" && w.step >= crashStep
	m.FailedSince = 0
	m.ContactAt, m.StatusAt = w.now(), w.now()
	m.Status = replicaset.Status{
		Primary: w.leader == id, Term: w.term, FencedTerm: s.held,
		Received: model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(s.received)},
	}
	w.view[id] = m
}

func (w *modelWorld) input() *Input {
	v := replicaset.View{Service: "db", PrimaryTerm: w.term}
	for _, id := range modelIDs {
		m := w.view[id]
		if m.Status.Primary && m.Status.Term == w.term {
			v.Primary = id
		}
		v.Members = append(v.Members, m)
	}
	return &Input{
		Views:        []replicaset.View{v},
		Evacuated:    func(model.Zone) bool { return false },
		PeerContact:  func(model.UpstreamID) model.Time { return 0 },
		Evidence:     func(catalog.Service) (replicaset.Evidence, bool) { return replicaset.Evidence{}, false },
		SyncReplicas: func(catalog.Service) int { return 1 },
	}
}

// carryOut sends an order or a call, which may meet a mishap.
func (w *modelWorld) carryOut(e Effect) {
	if e.Kind != EffectOrder && e.Kind != EffectPromote {
		return
	}
	what := w.scenario.mishaps[w.sent]
	w.sent++
	switch what {
	case dropped:
	case late:
		w.late = append(w.late, pendingOrder{at: w.step + lateSteps, effect: e})
	default:
		accepted := w.apply(&e)
		if what == unanswered {
			break
		}
		w.reply(&e, accepted)
		return
	}
	if e.Kind == EffectPromote {
		w.holder.Promoted(w.now(), "db", e.Token, OutcomeUnknown)
	}
}

func (w *modelWorld) reply(e *Effect, accepted bool) {
	if e.Kind == EffectOrder {
		if w.servers[e.Upstream].alive {
			w.answer(e.Upstream)
		}
		return
	}
	outcome := OutcomeRefused
	if accepted {
		outcome = OutcomeAccepted
	}
	w.holder.Promoted(w.now(), "db", e.Token, outcome)
}

// apply carries out an order or a call; it returns whether a call was accepted.
func (w *modelWorld) apply(e *Effect) bool {
	s := w.servers[e.Upstream]
	if e.Kind == EffectPromote {
		if e.Token < w.token || !s.alive {
			return false
		}
		w.token = e.Token
		if w.leader != e.Upstream {
			w.next, w.nextAt = e.Upstream, w.step+promoteSteps
		}
		return true
	}
	if !s.alive {
		return false
	}
	switch e.Order {
	case OrderPause:
		if e.Term > w.term && w.leader != e.Upstream {
			s.held = e.Term
		}
	case OrderResume:
		s.held = 0
	case OrderStepDown:
		if e.Term > w.term && w.leader == e.Upstream {
			w.leader = ""
		}
	}
	return true
}

// firstOrders is how many orders and calls may meet a mishap.
const firstOrders = 14

// eachScenario calls fn with every scenario of at most two mishaps.
func eachScenario(fn func(scenario)) {
	for _, leaves := range []bool{false, true} {
		for commits := range 3 {
			for _, returns := range []int{never, 14, 30} {
				for _, dies := range []int{never, 9, 12, 16, 20} {
					if leaves && returns != never {
						continue
					}
					base := scenario{commits: commits, leaves: leaves, returns: returns, holderDies: dies}
					eachMishap(base, fn)
				}
			}
		}
	}
}

func eachMishap(base scenario, fn func(scenario)) {
	fn(base)
	for i := range firstOrders {
		for x := dropped; x < mishaps; x++ {
			one := base
			one.mishaps = map[int]mishap{i: x}
			fn(one)
			for j := i + 1; j < firstOrders; j++ {
				for y := dropped; y < mishaps; y++ {
					two := base
					two.mishaps = map[int]mishap{i: x, j: y}
					fn(two)
				}
			}
		}
	}
}

// Guards against the loss of an acknowledged commit under every placement of at
// most two mishaps, a crash of the primary and one of the holder.
func TestEveryScenarioKeepsAcknowledgedCommits(t *testing.T) {
	runs, moved := 0, 0
	eachScenario(func(s scenario) {
		fault, moves := s.run()
		runs++
		if moves > 0 {
			moved++
		}
		if fault != "" {
			t.Fatalf("%s in scenario %+v", fault, s)
		}
	})
	if moved*2 < runs {
		t.Errorf("the primary changed in only %d of %d scenarios", moved, runs)
	}
	t.Logf("%d scenarios, the primary changed in %d", runs, moved)
}

// Guards against a model that finds nothing: a replica that receives although
// it is fenced has to show.
func TestModelFindsAPlantedFault(t *testing.T) {
	found := false
	eachScenario(func(s scenario) {
		if found || !s.leaves {
			return
		}
		s.unfenced = true
		fault, _ := s.run()
		found = fault != ""
	})
	if !found {
		t.Error("the planted fault was not found")
	}
}
