package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// modelRate and modelBurst are the highest rate and burst of any
	// configuration, in milli-tokens per second and milli-tokens.
	modelRate  = 400 * limits.Token
	modelBurst = 200 * limits.Token
)

// limitConfig is a version of the only workspace's limits.
type limitConfig struct {
	rate, burst int64
	zones       []model.Zone
}

// limitModel runs core/limits on the VMs of a simulated cluster and checks its
// admissions against one token bucket with the whole rate and burst.
type limitModel struct {
	*cluster
	staticSplit bool
	validity    time.Duration
	// faults and changes enable faults and configuration changes. Rounding
	// errors of the refill accumulate only without faults, and shares keep
	// their full size only without changes.
	faults  bool
	changes bool
	// requestsPerStep is the number of requests that step submits at one VM.
	requestsPerStep int
	versions        []limitConfig
	// appliedVersion is the configuration version that each VM uses, and
	// rolledOut the newest that all VMs have applied.
	appliedVersion map[model.VMID]int
	rolledOut      int
	nextID         uint64
	// bucketLevel is the level of the reference bucket as of refilledAt, in
	// millionths of a milli-token. No window exceeds its bound if and only if
	// the level never falls below 0.
	bucketLevel int64
	refilledAt  int64
	admitted    int
	refused     int
}

func newLimitModel(t *rapid.T, names ...model.VMID) *limitModel {
	m := &limitModel{cluster: newCluster(t, names...), appliedVersion: map[model.VMID]int{}, bucketLevel: modelBurst * 1e6}
	for _, z := range m.zones {
		m.items = append(m.items, membership.Item{Kind: membership.Tokens, Zone: z, Name: "w"})
	}
	m.versions = []limitConfig{{rate: modelRate, burst: modelBurst, zones: m.zones}}
	for _, v := range m.vms {
		v.onStart = m.startVM
		v.onLimits = m.countEffect
	}
	return m
}

func (m *limitModel) startVM(v *vm) {
	v.limitsState = limits.New(limits.Config{
		Self: v.id, Zone: v.zone, StaticSplit: m.staticSplit, Validity: m.validity,
		FirstRequestID: m.rng.Uint64() / 2,
	})
	m.configure(v, len(m.versions)-1)
}

// configure applies a configuration version on a VM.
func (m *limitModel) configure(v *vm, version int) {
	m.appliedVersion[v.id] = version
	c := m.versions[version]
	v.limit(limits.Event{
		Kind: limits.EventConfigure, Workspace: "w", Version: uint64(version) + 1,
		Rate: c.rate, Burst: c.burst, Zones: c.zones,
	})
}

// addVersion adds a configuration version with random zones, and at times half
// the rate.
func (m *limitModel) addVersion() {
	c := limitConfig{rate: modelRate, burst: modelBurst}
	if rapid.IntRange(0, 2).Draw(m.t, "lower") == 0 {
		c.rate /= 2
	}
	in := rapid.IntRange(1, 1<<len(m.zones)-1).Draw(m.t, "zones")
	for i, z := range m.zones {
		if in&(1<<i) != 0 {
			c.zones = append(c.zones, z)
		}
	}
	m.versions = append(m.versions, c)
}

// distributeConfig sends the newest version and the rolled-out version to the
// VMs that are reachable, then updates rolledOut.
func (m *limitModel) distributeConfig() {
	newest := len(m.versions) - 1
	for _, v := range m.vms {
		if !v.alive || v.paused || m.partition[v.id] != 0 || (m.faultsEnabled && m.rng.Intn(4) > 0) {
			continue
		}
		if m.appliedVersion[v.id] < newest {
			m.configure(v, newest)
		}
		v.limit(limits.Event{Kind: limits.EventRolledOut, Version: uint64(m.rolledOut) + 1})
	}
	rolledOut := newest
	for _, v := range m.vms {
		if v.alive {
			rolledOut = min(rolledOut, m.appliedVersion[v.id])
		}
	}
	m.rolledOut = max(m.rolledOut, rolledOut)
}

// limit applies an event to the limits of the VM and executes the effects.
func (v *vm) limit(ev limits.Event) {
	for _, e := range v.limitsState.Apply(v.clock(), &ev, nil) {
		switch e.Kind {
		case limits.EffectTokenRequest:
			v.sendRequest(e)
		case limits.EffectTokenResponse:
			v.sendTokens(e)
		case limits.EffectRelease:
			it := membership.Item{Kind: membership.Tokens, Zone: v.zone, Name: string(e.Workspace)}
			v.sendRelease(it, e.VM, e.Zone, e.Epoch, e.Balance)
		default:
			v.onLimits(v, e)
		}
	}
}

func (v *vm) sendRequest(e limits.Effect) {
	v.c.send(v, e.VM, func(w *vm) {
		w.limit(limits.Event{
			Kind: limits.EventTokenRequest, Workspace: e.Workspace, VM: v.id,
			RequestID: e.RequestID, Amount: e.Amount, Borrow: e.Borrow,
		})
	})
}

func (v *vm) sendTokens(e limits.Effect) {
	v.c.send(v, e.VM, func(w *vm) {
		w.limit(limits.Event{
			Kind: limits.EventTokenResponse, Workspace: e.Workspace, RequestID: e.RequestID,
			Amount: e.Amount, Validity: e.Validity, RetryAfter: e.RetryAfter,
		})
	})
}

// countEffect counts an admission or refusal, and debits the reference bucket
// for an admission.
func (m *limitModel) countEffect(_ *vm, e limits.Effect) {
	if e.Kind == limits.EffectRefuse {
		m.refused++
		return
	}
	m.admitted++
	m.bucketLevel = min(modelBurst*1e6, m.bucketLevel+(m.now-m.refilledAt)*modelRate/1000)
	m.refilledAt = m.now
	m.bucketLevel -= limits.Token * 1e6
	if m.bucketLevel < 0 {
		m.t.Fatalf("at %v, %d milli-tokens too many were admitted", time.Duration(m.now), -m.bucketLevel/1e6)
	}
}

// admit submits n requests at a VM with a deadline after wait.
func (m *limitModel) admit(v *vm, n int, wait time.Duration) {
	for range n {
		if !v.alive || v.paused {
			return
		}
		m.nextID++
		v.limit(limits.Event{
			Kind: limits.EventAdmit, Workspace: "w", ID: m.nextID,
			Amount: limits.Token, Deadline: v.clock().Add(wait),
		})
	}
}

// step submits requests, advances the time, and at times injects a fault or
// changes the configuration. The load is zero, about the rate, or 8 times the
// rate; at times all VMs get a burst of requests at once.
func (m *limitModel) step(t *rapid.T) {
	event := rapid.IntRange(0, 99).Draw(t, "step")
	switch {
	case event < 2:
		m.requestsPerStep = rapid.SampledFrom([]int{0, 10, 80, 80}).Draw(t, "load")
	case event < 4:
		for _, v := range m.vms {
			m.admit(v, 100, 200*time.Millisecond)
		}
	case event < 5 && m.faults:
		m.fault()
	case event < 6 && m.changes:
		m.addVersion()
	case event < 7 && m.faults:
		m.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "long")) * time.Millisecond)
	}
	m.admit(m.vms[m.rng.Intn(len(m.vms))], m.requestsPerStep, 200*time.Millisecond)
	m.advance(25 * time.Millisecond)
}

// replaceOwner applies 8 times the rate while a partitioned owner is replaced.
func (m *limitModel) replaceOwner() {
	m.isolateOwner(m.items[0])
	for range 600 {
		m.admit(m.vms[m.rng.Intn(len(m.vms))], 80, 200*time.Millisecond)
		m.advance(25 * time.Millisecond)
	}
}

// Guards against more admissions in a window, over all VMs, than the burst plus
// rate x window, and against refusals inside the rate once faults have ended,
// at whichever VM the demand is.
//
// Detected mutations: a capacity that leaves no room for granted tokens, shares
// raised before the rollout has ended, a clock that may be 2% fast, tokens
// granted or lent without a debit, and repeated responses that are used twice
// ("too many were admitted"); owners that do not borrow ("requests inside the
// rate were refused"). An owner that acts after its epoch has lapsed is
// detected only if its refill continues as well, as either check alone keeps
// the bound.
func TestLimitsWindow(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLimitModel(t, "z1a", "z1b", "z1c", "z2a", "z3a")
		m.validity = rapid.SampledFrom([]time.Duration{20 * time.Millisecond, limits.DefaultValidity}).Draw(t, "validity")
		m.faults = rapid.IntRange(0, 3).Draw(t, "faults") > 0
		m.changes = m.faults && rapid.Bool().Draw(t, "changes")
		m.faultsEnabled = m.faults
		m.startAll()
		m.every(200*time.Millisecond, m.distributeConfig)
		m.advance(8 * time.Second)
		if m.faults && rapid.Bool().Draw(t, "replace owner") {
			m.replaceOwner()
		}
		for range clusterSteps {
			m.step(t)
		}
		m.heal()
		m.versions = append(m.versions, m.versions[0])
		m.advance(settleTime)
		m.steadyDemand(rapid.IntRange(0, len(m.vms)).Draw(t, "sender"))
		admitted += m.admitted
	})
	if admitted == 0 {
		t.Error("nothing was admitted")
	}
}

// steadyDemand submits 80% of the rate at one VM or at all in turn, and fails
// if any request is refused.
func (m *limitModel) steadyDemand(sender int) {
	m.refused = 0
	for i := range 1000 {
		v := m.vms[i%len(m.vms)]
		if sender < len(m.vms) {
			v = m.vms[sender]
		}
		m.admit(v, 1, 500*time.Millisecond)
		m.advance(3125 * time.Microsecond)
	}
	m.advance(time.Second)
	if m.refused > 0 {
		m.t.Fatalf("%d of 1000 requests inside the rate were refused, sender %d", m.refused, sender)
	}
}

// demandCase is a scenario of TestLimitsLending. Sender -1 stands for all VMs
// in turn.
type demandCase struct {
	staticSplit bool
	sender      int
}

// run returns how many requests were refused and sent in 4 s of demand at 90%
// of the rate, without faults.
func (d demandCase) run(t *rapid.T) (refused, sent int) {
	m := newLimitModel(t, "z1a", "z1b", "z2a", "z2b", "z3a", "z3b")
	m.faultsEnabled = false
	m.staticSplit = d.staticSplit
	m.startAll()
	m.every(200*time.Millisecond, m.distributeConfig)
	m.advance(10 * time.Second)
	m.refused = 0
	for i := range 1440 {
		v := m.vms[i%len(m.vms)]
		if d.sender >= 0 {
			v = m.vms[d.sender]
		}
		m.admit(v, 1, 200*time.Millisecond)
		m.advance(2777 * time.Microsecond)
	}
	m.advance(time.Second)
	return m.refused, m.refused + m.admitted
}

// Guards against requests that are refused inside the rate because the tokens
// are in other zones. For comparison, it logs the refusals of a static split
// without lending.
//
// Detected mutation: an owner that does not queue requests it cannot fill, and
// so never borrows for them ("refused with lending").
func TestLimitsLending(t *testing.T) {
	cases := []demandCase{{true, -1}, {true, 0}, {true, 3}, {false, -1}, {false, 0}, {false, 3}}
	refused, sent := make([]int, len(cases)), make([]int, len(cases))
	rapid.Check(t, func(rt *rapid.T) {
		for i, d := range cases {
			r, n := d.run(rt)
			refused[i] += r
			sent[i] += n
			if !d.staticSplit && r > 0 {
				rt.Errorf("%d of %d requests refused with lending, sender %d", r, n, d.sender)
			}
		}
	})
	for i, d := range cases {
		t.Logf("static split %v, sender %d: %d of %d requests inside the rate refused", d.staticSplit, d.sender, refused[i], sent[i])
	}
}
