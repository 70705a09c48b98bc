package promotion

import (
	"cmp"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// The model runs a State against a simulated platform with three upstreams, in
// steps of stepDuration. Each command and promotion call may be lost, executed
// without a reply, or executed late; the primary and the lease holder may crash. A VM
// that uses the primary as long as it is confirmed may be cut off from the lease holder.
// A former primary serves on until it steps down. A scenario determines a run completely, so the tests enumerate all scenarios.
const (
	stepDuration = 100 * time.Millisecond
	stepsPerRun  = 75
	// delaySteps is the delay of a late command or call: longer than most
	// transitions take.
	delaySteps = 13
	// promoteSteps is how long a promotion by the platform takes.
	promoteSteps = 5
	// lateCallSteps is the length of a run in which calls are executed late.
	lateCallSteps = 180
	// leaseExpirySteps is the time from the crash of the lease holder until the
	// next holder acquires the lease.
	leaseExpirySteps = 22
	// never is the step of an event that does not happen.
	never = -1
)

// delivery is what happens to a command or a promotion call.
type delivery uint8

const (
	delivered delivery = iota
	dropped
	// replyLost: executed, but the sender gets no reply.
	replyLost
	// delayed: executed delaySteps later, without a reply.
	delayed
	// deliveries is the number of kinds.
	deliveries
)

// scenario determines one run.
type scenario struct {
	// commitPattern selects which replica receives each commit first.
	commitPattern int
	// planned is true if the primary leaves, false if it crashes.
	planned bool
	// restartStep is the step at which the crashed primary restarts.
	restartStep int
	// holderCrashStep is the step at which the lease holder crashes.
	holderCrashStep int
	// deliveries are the faults by the sequence number of the command or call;
	// all others are delivered.
	deliveries map[int]delivery
	// vmCutStep is the step from which the VM that uses the primary is cut off from the
	// lease holder, and vmCutSteps for how long.
	vmCutStep  int
	vmCutSteps int
	// fencesUnchecked is true if the platform accepts every fencing token.
	fencesUnchecked bool
	// lateSteps replaces delaySteps if it is not 0, and steps stepsPerRun.
	lateSteps int
	steps     int
	// downFrom and downUntil are the steps at which replica c crashes and restarts.
	downFrom  int
	downUntil int
	// confirmedWrites is true if the primary commits only what the VM that it is confirmed to
	// writes, false if callers reach it in any case.
	confirmedWrites bool
	// ignoresFence injects a bug: replica c receives commits while it is fenced.
	ignoresFence bool
	// ignoresConfirmations injects a bug: the VM uses the primary that it was last told
	// of, without a limit of time.
	ignoresConfirmations bool
}

type modelUpstream struct {
	received  int
	fenceTerm uint64
	alive     bool
	// servesOn is true for a former primary that has not stepped down.
	servesOn bool
}

type delayedEffect struct {
	at     int
	effect Effect
}

// modelCluster is the state of one run.
type modelCluster struct {
	scenario     scenario
	step         int
	upstreams    map[model.UpstreamID]*modelUpstream
	primary      model.UpstreamID
	term         uint64
	acknowledged int
	highestToken uint64
	// highestSent is the highest token of all calls that were sent.
	highestSent uint64
	// promoting is the upstream that the platform is promoting; it becomes the
	// primary at promotedAtStep.
	promoting      model.UpstreamID
	promotedAtStep int
	delayed        []delayedEffect

	// holder is the state of the lease holder, and members what it knows of the
	// upstreams.
	holder       *State
	revision     uint64
	messagesSent int
	members      map[model.UpstreamID]replicaset.Member
	promotions   int
	// records is what the store has of the last promotion.
	records map[catalog.Service]Record
	// vm is what the VM that uses the primary was last told, at vmAskedAt.
	vm        Confirmation
	vmAskedAt model.Time
	// violation describes the loss of an acknowledged commit or the use of a former
	// primary, "" if none.
	violation string
}

var upstreamIDs = []model.UpstreamID{"a", "b", "c"}

func newModelCluster(s scenario) *modelCluster {
	c := &modelCluster{
		scenario: s, primary: "a", term: 1, upstreams: map[model.UpstreamID]*modelUpstream{},
		holder: New(), revision: 1, members: map[model.UpstreamID]replicaset.Member{}, promotedAtStep: never,
		records: map[catalog.Service]Record{},
	}
	for _, id := range upstreamIDs {
		c.upstreams[id] = &modelUpstream{alive: true}
		c.members[id] = replicaset.Member{Registration: replicaset.Registration{ID: id, Service: "db"}}
	}
	c.holder.Acquire(c.now(), Acquisition{Revision: c.revision, Records: maps.Clone(c.records)})
	return c
}

func (c *modelCluster) now() model.Time {
	return model.Time(time.Hour).Add(time.Duration(c.step) * stepDuration)
}

// run executes the scenario. It returns the safety violation, or "", and the number
// of promotions.
func (s scenario) run() (violation string, promotions int) {
	c := newModelCluster(s)
	for c.step = 0; c.step < cmp.Or(s.steps, stepsPerRun) && c.violation == ""; c.step++ {
		c.injectFaults()
		c.commit()
		c.refreshMembers()
		c.usePrimary()
		if c.holder.Holding() {
			for _, e := range c.holder.Tick(c.now(), c.input(), nil) {
				c.deliver(e)
			}
		}
	}
	return c.violation, c.promotions
}

// triggerStep is the step at which the primary crashes or announces that it leaves.
const triggerStep = 8

// injectFaults applies the crashes and restarts of this step, and the delayed
// commands, calls and promotions that are due.
func (c *modelCluster) injectFaults() {
	if c.step == triggerStep && !c.scenario.planned {
		c.upstreams["a"].alive = false
	}
	if c.step == c.scenario.restartStep && !c.scenario.planned {
		c.upstreams["a"].alive, c.upstreams["a"].servesOn = true, false
	}
	if s := &c.scenario; s.downUntil > 0 && (c.step == s.downFrom || c.step == s.downUntil) {
		c.upstreams["c"].alive = c.step == s.downUntil
	}
	if c.step == c.scenario.holderCrashStep {
		c.holder = New()
	}
	if c.scenario.holderCrashStep != never && c.step == c.scenario.holderCrashStep+leaseExpirySteps {
		c.revision++
		c.holder.Acquire(c.now(), Acquisition{Revision: c.revision, Records: maps.Clone(c.records)})
	}
	for _, d := range c.delayed {
		if d.at == c.step {
			c.execute(&d.effect)
		}
	}
	if c.promotedAtStep == c.step {
		c.completePromotion(c.promoting)
	}
}

// commit makes the primary write a commit, which is acknowledged once a replica has
// received it.
func (c *modelCluster) commit() {
	primary := c.upstreams[c.primary]
	if primary == nil || !primary.alive || c.scenario.confirmedWrites && (!c.vmConfirmed() || c.vm.Upstream != c.primary) {
		return
	}
	primary.received++
	evenLags := (c.step >> 1 & c.scenario.commitPattern) != 0
	for i, id := range upstreamIDs {
		u := c.upstreams[id]
		ignores := c.scenario.ignoresFence && id == "c"
		if id == c.primary || !u.alive || u.fenceTerm > 0 && !ignores {
			continue
		}
		// Depending on evenLags, a replica lags by one commit.
		behind := 0
		if (i%2 == 0) == evenLags {
			behind = 1
		}
		u.received = max(u.received, primary.received-behind)
		if u.received == primary.received {
			c.acknowledged = primary.received
		}
	}
}

// completePromotion makes an upstream the primary and checks that it has every
// acknowledged commit.
func (c *modelCluster) completePromotion(id model.UpstreamID) {
	u := c.upstreams[id]
	c.promotedAtStep = never
	if !u.alive {
		return
	}
	if u.received < c.acknowledged {
		c.violation = fmt.Sprintf("step %d: %s is promoted with %d of %d acknowledged commits", c.step, id, u.received, c.acknowledged)
	}
	if former := c.upstreams[c.primary]; former != nil && former.alive && c.primary != id {
		former.servesOn = true
	}
	u.servesOn = false
	c.primary = id
	c.term++
	c.promotions++
	for _, other := range c.upstreams {
		other.received = min(other.received, u.received)
		other.fenceTerm = 0
	}
}

// vmCut reports whether the VM that uses the primary is cut off from the lease holder.
func (c *modelCluster) vmCut() bool {
	from := c.scenario.vmCutStep
	return from != never && c.step >= from && c.step < from+c.scenario.vmCutSteps
}

// usePrimary makes the VM ask for a confirmation now and then, and use the primary as
// long as it is confirmed. It checks that no other upstream has been promoted.
func (c *modelCluster) usePrimary() {
	if c.step%3 == 1 && !c.vmCut() {
		for _, confirmed := range c.holder.Confirm(c.now(), modelVM) {
			if confirmed.Successor != "" {
				// The VM may not read from this primary.
				continue
			}
			c.vm, c.vmAskedAt = confirmed, c.now()
		}
	}
	if c.vmConfirmed() && c.term > c.vm.Term && c.upstreams[c.vm.Upstream].servesOn {
		c.violation = fmt.Sprintf("step %d: %s is used, but %q is the primary", c.step, c.vm.Upstream, c.primary)
	}
}

// vmConfirmed reports whether the VM may use the primary that it was last told of.
func (c *modelCluster) vmConfirmed() bool {
	return c.vm.Upstream != "" && (c.now().Sub(c.vmAskedAt) < ConfirmationTTL || c.scenario.ignoresConfirmations)
}

// modelVM is the VM that uses the primary.
const modelVM model.VMID = "vm"

// withdraw ends the confirmation of the VM, unless the message is lost.
func (c *modelCluster) withdraw(e *Effect) {
	if c.vmCut() {
		return
	}
	if !c.scenario.ignoresConfirmations {
		c.vm = Confirmation{}
	}
	c.holder.ReportWithdrawn(c.now(), e.Service, e.VM, e.SentAt, Withdrawal{})
}

// refreshMembers simulates the lease holder's regular status queries.
func (c *modelCluster) refreshMembers() {
	for _, id := range upstreamIDs {
		m := c.members[id]
		if !c.upstreams[id].alive {
			if m.FailedSince == 0 {
				m.FailedSince = c.now()
			}
			c.members[id] = m
			continue
		}
		c.members[id] = m
		if c.step%3 == 0 {
			c.recordStatus(id)
		}
	}
}

// recordStatus passes the status of an upstream to the lease holder.
func (c *modelCluster) recordStatus(id model.UpstreamID) {
	u := c.upstreams[id]
	m := c.members[id]
	m.Leaving = c.scenario.planned && id == "a" && c.step >= triggerStep
	m.FailedSince = 0
	m.ContactAt, m.StatusAt = c.now(), c.now()
	m.Status = replicaset.Status{
		Primary: c.primary == id || u.servesOn, Term: c.term, FencedTerm: u.fenceTerm,
		Received: model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(u.received)},
	}
	if u.servesOn {
		m.Status.Term = c.term - 1
	}
	c.members[id] = m
}

func (c *modelCluster) input() *Input {
	v := replicaset.View{Service: "db", PrimaryTerm: c.term, ListedAt: c.now(), ListComplete: true}
	for _, id := range upstreamIDs {
		m := c.members[id]
		if m.Status.Primary && m.Status.Term == c.term {
			v.Primary = id
		}
		v.Members = append(v.Members, m)
	}
	return &Input{
		Views:        []replicaset.View{v},
		Evacuated:    func(model.Zone) bool { return false },
		PeerContact:  func(model.UpstreamID) model.Time { return 0 },
		Evidence:     func(catalog.Service) (replicaset.Evidence, bool) { return replicaset.Evidence{}, false },
		EvidenceUpTo: func(catalog.Service, model.Position) (replicaset.Evidence, bool) { return replicaset.Evidence{}, false },
		SyncReplicas: func(catalog.Service) int { return 1 }, FencesChecked: !c.scenario.fencesUnchecked,
	}
}

// deliver sends a command or a promotion call, subject to the scenario's faults.
func (c *modelCluster) deliver(e Effect) {
	switch e.Kind {
	case EffectWithdraw:
		c.withdraw(&e)
	case EffectPromote, EffectRecord:
		c.records[e.Service] = e.Record
	}
	if e.Kind == EffectPromote {
		c.checkCall(&e)
	}
	if e.Kind != EffectCommand && e.Kind != EffectPromote {
		return
	}
	mode := c.scenario.deliveries[c.messagesSent]
	c.messagesSent++
	switch mode {
	case dropped:
	case delayed:
		c.delayed = append(c.delayed, delayedEffect{at: c.step + cmp.Or(c.scenario.lateSteps, delaySteps), effect: e})
	default:
		accepted := c.execute(&e)
		if mode == replyLost {
			break
		}
		c.reply(&e, accepted)
		return
	}
	if e.Kind == EffectPromote {
		c.holder.ReportPromotion(c.now(), "db", e.Token, OutcomeUnknown)
	}
}

// checkCall verifies that a promotion call has no lower token than an earlier one, and on a
// platform that does not check tokens no other target than a call that may still be executed.
func (c *modelCluster) checkCall(e *Effect) {
	if e.Token < c.highestSent {
		c.violation = fmt.Sprintf("step %d: %s is to be promoted by token %d after %d", c.step, e.Upstream, e.Token, c.highestSent)
	}
	c.highestSent = max(c.highestSent, e.Token)
	for _, d := range c.delayed {
		if c.scenario.fencesUnchecked && d.at > c.step && d.effect.Kind == EffectPromote && d.effect.Upstream != e.Upstream {
			c.violation = fmt.Sprintf("step %d: %s is to be promoted while a call for %s may still be executed", c.step, e.Upstream, d.effect.Upstream)
		}
	}
}

func (c *modelCluster) reply(e *Effect, accepted bool) {
	if e.Kind == EffectCommand {
		if c.upstreams[e.Upstream].alive {
			c.recordStatus(e.Upstream)
		}
		return
	}
	outcome := OutcomeRefused
	if accepted {
		outcome = OutcomeAccepted
	}
	c.holder.ReportPromotion(c.now(), "db", e.Token, outcome)
}

// execute executes a command or a promotion call. It returns false if a call is
// refused.
func (c *modelCluster) execute(e *Effect) bool {
	u := c.upstreams[e.Upstream]
	if e.Kind == EffectPromote {
		if e.Token < c.highestToken && !c.scenario.fencesUnchecked || !u.alive {
			return false
		}
		c.highestToken = max(c.highestToken, e.Token)
		if c.primary != e.Upstream {
			c.promoting, c.promotedAtStep = e.Upstream, c.step+promoteSteps
		}
		return true
	}
	if !u.alive {
		return false
	}
	switch e.Command {
	case CommandPause:
		if e.Term > c.term && c.primary != e.Upstream {
			u.fenceTerm = e.Term
		}
	case CommandResume:
		u.fenceTerm = 0
	case CommandStepDown:
		if e.Term > c.term && c.primary == e.Upstream {
			c.primary = ""
		}
		u.servesOn = u.servesOn && e.Term < c.term
	}
	return true
}

// faultableMessages is the number of commands and calls, from the first on, that
// are subject to faults.
const faultableMessages = 14

// eachScenario calls fn with every scenario that has at most two delivery faults.
func eachScenario(fn func(scenario)) {
	for _, planned := range []bool{false, true} {
		for commitPattern := range 3 {
			for _, restartStep := range []int{never, 14, 30} {
				for _, holderCrash := range []int{never, 9, 12, 16, 20} {
					if planned && restartStep != never {
						continue
					}
					base := scenario{
						commitPattern: commitPattern, planned: planned, restartStep: restartStep, holderCrashStep: holderCrash, vmCutStep: never,
					}
					eachDelivery(base, fn)
				}
			}
		}
	}
}

// eachCutScenario calls fn with every scenario that has a VM cut off from the lease
// holder and at most one delivery fault.
func eachCutScenario(fn func(scenario)) {
	for _, planned := range []bool{false, true} {
		for _, unchecked := range []bool{false, true} {
			for _, holderCrash := range []int{never, 9, 12, 16, 20} {
				for cutStep := triggerStep - 3; cutStep < triggerStep+12; cutStep++ {
					for _, cutSteps := range []int{4, 12, stepsPerRun} {
						base := scenario{
							planned: planned, restartStep: never, holderCrashStep: holderCrash,
							vmCutStep: cutStep, vmCutSteps: cutSteps, fencesUnchecked: unchecked,
						}
						eachSingleDelivery(base, fn)
					}
				}
			}
		}
	}
}

// eachLateCallScenario calls fn with scenarios in which one or two messages, promotion calls
// among them, are executed seconds late, after the transitions that sent them were given up.
func eachLateCallScenario(fn func(scenario)) {
	for _, planned := range []bool{false, true} {
		for _, restartStep := range []int{never, 14, 30} {
			for _, holderCrash := range []int{never, 16, 40} {
				for _, lateSteps := range []int{30, 80} {
					if planned && restartStep != never {
						continue
					}
					base := scenario{
						planned: planned, restartStep: restartStep, holderCrashStep: holderCrash, vmCutStep: never, fencesUnchecked: true,
						confirmedWrites: true, lateSteps: lateSteps, steps: lateCallSteps,
					}
					for _, down := range [][2]int{{}, {16, 60}, {20, 110}, {30, 75}} {
						late := base
						late.downFrom, late.downUntil = down[0], down[1]
						for i := range faultableMessages {
							for j := i; j < min(i+4, faultableMessages); j++ {
								late.deliveries = map[int]delivery{i: delayed, j: delayed}
								fn(late)
							}
						}
					}
				}
			}
		}
	}
}

// eachSingleDelivery calls fn with base and with every placement of one delivery fault
// in it.
func eachSingleDelivery(base scenario, fn func(scenario)) {
	fn(base)
	for i := range faultableMessages {
		for x := dropped; x < deliveries; x++ {
			one := base
			one.deliveries = map[int]delivery{i: x}
			fn(one)
		}
	}
}

// eachDelivery calls fn with base and with every placement of one or two delivery
// faults in it.
func eachDelivery(base scenario, fn func(scenario)) {
	fn(base)
	for i := range faultableMessages {
		for x := dropped; x < deliveries; x++ {
			one := base
			one.deliveries = map[int]delivery{i: x}
			fn(one)
			for j := i + 1; j < faultableMessages; j++ {
				for y := dropped; y < deliveries; y++ {
					two := base
					two.deliveries = map[int]delivery{i: x, j: y}
					fn(two)
				}
			}
		}
	}
}

// Guards against the loss of an acknowledged commit under every placement of at
// most two delivery faults, a crash of the primary and a crash of the lease holder.
func TestEveryScenarioKeepsAcknowledgedCommits(t *testing.T) {
	runs, promoted := 0, 0
	eachScenario(func(s scenario) {
		violation, promotions := s.run()
		runs++
		if promotions > 0 {
			promoted++
		}
		if violation != "" {
			t.Fatalf("%s in scenario %+v", violation, s)
		}
	})
	if promoted*2 < runs {
		t.Errorf("the primary changed in only %d of %d scenarios", promoted, runs)
	}
	t.Logf("%d scenarios, the primary changed in %d", runs, promoted)
}

// Guards against a model that cannot detect a lost commit: a replica that receives
// commits while it is fenced must cause a violation.
func TestModelDetectsIgnoredFence(t *testing.T) {
	found := false
	eachScenario(func(s scenario) {
		if found || !s.planned {
			return
		}
		s.ignoresFence = true
		violation, _ := s.run()
		found = violation != ""
	})
	if !found {
		t.Error("no scenario detects that replica c ignores its fence")
	}
}

// Guards against the use of a former primary that serves on, by a VM that is cut off
// from the lease holder, with and without a platform that checks fencing tokens.
func TestNoVMUsesAFormerPrimary(t *testing.T) {
	runs, promoted := 0, 0
	eachCutScenario(func(s scenario) {
		violation, promotions := s.run()
		runs++
		if promotions > 0 {
			promoted++
		}
		if violation != "" {
			t.Fatalf("%s in scenario %+v", violation, s)
		}
	})
	if promoted*2 < runs {
		t.Errorf("the primary changed in only %d of %d scenarios", promoted, runs)
	}
	t.Logf("%d scenarios, the primary changed in %d", runs, promoted)
}

// Guards against a model that cannot detect the use of a former primary: a VM that
// ignores the end of its confirmation must cause a violation.
func TestModelDetectsIgnoredConfirmations(t *testing.T) {
	found := false
	eachCutScenario(func(s scenario) {
		if found || !s.planned {
			return
		}
		s.ignoresConfirmations = true
		violation, _ := s.run()
		found = violation != ""
	})
	if !found {
		t.Error("no scenario detects a VM that ignores the end of its confirmation")
	}
}

// Guards against promotion calls that are executed seconds after they were given up, on a platform
// that does not check fencing tokens: no acknowledged commit is lost, no former primary is used, no
// call has a lower token than an earlier one, and there is no second target meanwhile.
func TestLateCallsOnAPlatformWithoutFences(t *testing.T) {
	runs, again, violations := 0, 0, 0
	eachLateCallScenario(func(s scenario) {
		violation, promotions := s.run()
		runs++
		if promotions > 1 {
			again++
		}
		if violation != "" {
			violations++
			if violations < 4 {
				t.Errorf("%s in scenario %+v", violation, s)
			}
		}
	})
	t.Logf("%d scenarios, %d with more than one promotion, %d violations", runs, again, violations)
}
