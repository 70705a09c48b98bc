// Package quota keeps each workspace within its rate and burst over all VMs,
// without an owner and without a call before an operation is admitted. It is
// pure.
//
// Every VM follows the workspace's one token bucket from what its peers report
// to have admitted. While that bucket is well filled, a VM admits what comes.
// When it runs low, each VM admits only its part of the rate, which is its part
// of the demand: all VMs compute the parts from the same reports.
package quota

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// ReportTTL is how long a VM's report counts; it is several reporting
	// intervals, so that one lost report changes nothing.
	ReportTTL = 1500 * time.Millisecond
	// isolatedAfter is how long a VM that hears from few peers goes on as before.
	// It is shorter than SilentAfter, so that it stops before its peers divide
	// its part.
	isolatedAfter = 900 * time.Millisecond
	// shareIncreaseDelay is how long a VM waits with a higher share of its own, until
	// its peers have its report.
	shareIncreaseDelay = 800 * time.Millisecond
	// startupPeriod is how long the demand of a VM that has started counts as
	// unknown: raiseDelay after its first reports.
	startupPeriod = 1500 * time.Millisecond
	// demandWindow smooths the arrivals: shares follow where callers are, not
	// the chance of single seconds.
	demandWindow = 3 * time.Second
	// initialFillFraction is the part of the burst that a VM assumes to be left at its
	// start: what was used before still counts, and the VMs were down for a moment.
	initialFillFraction = 0.5
	// lowFillFraction is the part of the burst below which the workspace's bucket is
	// low. It covers what peers admit between two reports.
	lowFillFraction = 0.4
	// localBurstFraction is the part of the burst that the VMs may save up in their own
	// buckets for when the workspace's bucket is low.
	localBurstFraction = 0.3
	// minRefillFactor bounds how far the refill slows down after the workspace's
	// bucket was overdrawn.
	minRefillFactor = 0.4
	// clockSkewFactor reduces the refill for clocks that run fast.
	clockSkewFactor = 0.99
	// evenFraction is the part of a rate that is divided evenly, so that a VM with
	// new callers has some at once; the rest follows the demand.
	evenFraction = 0.12
	// assumedVMs is how many VMs share a rate while the list of VMs is unknown.
	assumedVMs = 16
	// minLocalBurst is the least number of tokens that a VM may save up.
	minLocalBurst = 1.0
)

// Demand is what a VM reports of a workspace.
type Demand struct {
	Workspace model.Workspace
	// PerSecond is how many operations reach the VM.
	PerSecond float64
	// Admitted counts the operations that the VM has admitted since its start.
	Admitted uint64
}

// Report is what a VM tells its peers.
type Report struct {
	VM model.VMID
	// Incarnation differs between two starts of the VM.
	Incarnation uint64
	// VMs is how many VMs the report stands for; 0 counts as 1.
	VMs     int
	Demands []Demand
}

// State has the shares of one VM.
type State struct {
	self    model.VMID
	members []model.VMID
	// sources are those whose reports together stand for all other VMs: every
	// other VM, or hubs that sum the reports of many.
	sources    []model.VMID
	reports    map[model.VMID]*report
	workspaces map[model.Workspace]*bucket
	lastTick   model.Time
	// startedAt is the time of the first configuration.
	startedAt model.Time
}

// report is the newest report of a peer.
type report struct {
	at          model.Time
	vms         int
	incarnation uint64
	demands     map[model.Workspace]Demand
	// shares are the peer's parts of the rates as of its report. A VM that is
	// cut off uses no more than these, and no more than an even part.
	shares map[model.Workspace]float64
}

// demandSample is a published demand.
type demandSample struct {
	at     model.Time
	demand float64
}

// bucket has this VM's tokens of one workspace.
type bucket struct {
	rate, burst float64
	share       float64
	// tokens are this VM's part, shared those of the workspace over all VMs
	// as far as reports tell.
	tokens float64
	shared float64
	// unreported is the part of the rate that VMs without reports may use.
	unreported float64
	// isolated is true while too few reports come to follow the shared bucket.
	isolated bool
	refilled model.Time
	// admitted counts the admitted operations.
	admitted uint64
	arrivals float64
	demand   float64
	// observed is for how long arrivals have been counted.
	observed         time.Duration
	publishedDemands []demandSample
}

// New returns the state of a VM that has just started.
func New(self model.VMID) *State {
	return &State{self: self, reports: map[model.VMID]*report{}, workspaces: map[model.Workspace]*bucket{}}
}

// Configure takes over the rates of a configuration.
func (s *State) Configure(now model.Time, c *catalog.Snapshot) {
	if s.startedAt == 0 {
		s.startedAt = now
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		b := s.workspaces[w.Name]
		if b == nil {
			b = &bucket{refilled: now}
			b.rate, b.burst = w.Rate, w.Burst
			b.share = s.computeShare(now, w.Name, b)
			b.tokens = b.localBurst()
			b.shared = w.Burst * initialFillFraction
			s.workspaces[w.Name] = b
			continue
		}
		b.refill(now)
		b.rate, b.burst = w.Rate, w.Burst
		b.tokens = min(b.tokens, b.localBurst())
	}
	for name := range s.workspaces {
		if c.Workspace(name) == nil {
			delete(s.workspaces, name)
		}
	}
}

// SetMembers takes over the list of VMs, this one included, and the sources
// whose reports stand for all others.
func (s *State) SetMembers(now model.Time, members, sources []model.VMID) {
	s.members, s.sources = members, sources
	for vm := range s.reports {
		if !slices.Contains(sources, vm) {
			delete(s.reports, vm)
		}
	}
	s.updateShares(now)
}

// AddReport takes over the report that a peer made at the time at or later.
func (s *State) AddReport(at model.Time, received *Report) {
	r := s.reports[received.VM]
	if r != nil && at < r.at {
		return
	}
	next := &report{at: at, vms: max(received.VMs, 1), incarnation: received.Incarnation, demands: make(map[model.Workspace]Demand, len(received.Demands)), shares: map[model.Workspace]float64{}}
	if r != nil {
		next.shares = r.shares
	}
	// While the peer was silent its part of the refill was left to it.
	tracked := r != nil && at.Sub(r.at) <= ReportTTL
	for _, d := range received.Demands {
		next.demands[d.Workspace] = d
		if b := s.workspaces[d.Workspace]; b != nil && tracked {
			b.shared -= float64(admittedSince(r, next.incarnation, &d))
		}
	}
	s.reports[received.VM] = next
}

// admittedSince returns what a peer has admitted since its last report.
func admittedSince(last *report, incarnation uint64, d *Demand) uint64 {
	known, found := last.demands[d.Workspace]
	switch {
	case last.vms > 1 && (!found || last.incarnation != incarnation):
		// Another hub has counted from another start.
		return 0
	case last.incarnation != incarnation:
		return d.Admitted
	case d.Admitted < known.Admitted:
		return 0
	}
	return d.Admitted - known.Admitted
}

// Tick smooths the demands, recomputes the shares and returns what peers are
// to be told.
func (s *State) Tick(now model.Time) []Demand {
	elapsed := now.Sub(s.lastTick)
	if s.lastTick == 0 {
		elapsed = demandWindow
	}
	s.lastTick = now
	var demands []Demand
	for name, b := range s.workspaces {
		b.smooth(now, elapsed)
		if b.admitted > 0 || b.demand > 0 {
			demands = append(demands, Demand{Workspace: name, PerSecond: b.demand, Admitted: b.admitted})
		}
	}
	s.updateShares(now)
	return demands
}

// smooth averages the arrivals over demandWindow, or over the time since the
// first arrival while that is shorter.
func (b *bucket) smooth(now model.Time, elapsed time.Duration) {
	if b.observed == 0 && b.arrivals == 0 {
		return
	}
	b.observed = min(b.observed+elapsed, demandWindow)
	weight := min(1, elapsed.Seconds()/b.observed.Seconds())
	rate := b.arrivals / max(elapsed.Seconds(), 0.001)
	b.demand += weight * (rate - b.demand)
	b.arrivals = 0
	b.publishedDemands = append(b.publishedDemands, demandSample{at: now, demand: b.demand})
	old := 0
	for old < len(b.publishedDemands)-1 && now.Sub(b.publishedDemands[old+1].at) >= shareIncreaseDelay {
		old++
	}
	b.publishedDemands = append(b.publishedDemands[:0], b.publishedDemands[old:]...)
}

// publishedDemand returns a demand that all peers have been told, unless the present
// one is lower.
func (b *bucket) publishedDemand(now model.Time) float64 {
	if len(b.publishedDemands) == 0 || now.Sub(b.publishedDemands[0].at) < shareIncreaseDelay {
		return 0
	}
	return min(b.demand, b.publishedDemands[0].demand)
}

func (s *State) updateShares(now model.Time) {
	for name, b := range s.workspaces {
		b.refill(now)
		b.share = s.computeShare(now, name, b)
		b.tokens = min(b.tokens, b.localBurst())
	}
}

// computeShare returns this VM's part of a workspace's rate.
func (s *State) computeShare(now model.Time, name model.Workspace, b *bucket) float64 {
	n := float64(len(s.members))
	if n == 0 {
		b.isolated, b.unreported = true, 1
		return 1.0 / assumedVMs
	}
	total, notRecent, reserved := b.demand, n-1, 0.0
	reporting, unreported := 1.0, n-1
	for _, vm := range s.sources {
		r := s.reports[vm]
		if r == nil {
			continue
		}
		vms := float64(r.vms)
		if now.Sub(r.at) <= isolatedAfter {
			notRecent -= vms
		}
		unreported -= vms
		if now.Sub(r.at) > ReportTTL {
			reserved += min(vms/n, r.shares[name])
			continue
		}
		reporting += vms
		total += r.demands[name].PerSecond
	}
	reserved += max(unreported, 0) / n
	share := 1 / reporting
	if total > 0 {
		share = evenFraction/reporting + (1-evenFraction)*b.publishedDemand(now)/total
	}
	share *= 1 - reserved
	if now.Sub(s.startedAt) < startupPeriod {
		// The peers do not know this VM's demand yet.
		share = max(share, 1/n)
	}
	b.unreported = reserved
	s.recordShares(now, name, total, reporting)
	b.isolated = notRecent*2 >= n
	if b.isolated {
		// Cut off from most VMs, which count on no more than an even part.
		return min(share, 1/n)
	}
	return share
}

// recordShares keeps the parts that reporting peers may use of a workspace's rate.
func (s *State) recordShares(now model.Time, name model.Workspace, total, reporting float64) {
	for _, r := range s.reports {
		if now.Sub(r.at) > ReportTTL {
			continue
		}
		share := evenFraction / reporting * float64(r.vms)
		if total > 0 {
			share += (1 - evenFraction) * r.demands[name].PerSecond / total
		}
		r.shares[name] = share
	}
}

// localBurst returns how many tokens this VM may save up.
func (b *bucket) localBurst() float64 { return max(b.share*b.burst*localBurstFraction, minLocalBurst) }

func (b *bucket) refill(now model.Time) {
	elapsed := now.Sub(b.refilled).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilled = now
	refilled := elapsed * b.rate * clockSkewFactor
	b.tokens = min(b.localBurst(), b.tokens+refilled*b.share*b.refillFactor())
	b.shared = min(b.burst, b.shared+refilled*(1-b.unreported))
}

// refillFactor slows the refill down while the workspace's bucket is overdrawn.
func (b *bucket) refillFactor() float64 {
	if b.shared >= 0 || b.burst <= 0 {
		return 1
	}
	return max(minRefillFactor, 1+b.shared/b.burst)
}

// isLow reports whether the workspace's bucket is too isLow to admit all that comes.
func (b *bucket) isLow() bool { return b.isolated || b.shared < max(lowFillFraction*b.burst, 1) }

// Decision is the answer to Admit. Share, Tokens and Shared are the inputs.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
	// Share is this VM's part of the rate, Tokens what it has of it, and Shared
	// what the workspace has over all VMs.
	Share  float64
	Tokens float64
	Shared float64
}

// Admit takes the token of one operation. Workspaces without a rate are
// admitted.
func (s *State) Admit(now model.Time, name model.Workspace) Decision {
	b := s.workspaces[name]
	if b == nil || b.rate <= 0 {
		return Decision{Admitted: true}
	}
	b.refill(now)
	b.arrivals++
	v := Decision{Share: b.share, Tokens: b.tokens, Shared: b.shared}
	if b.tokens < 1 && b.isLow() {
		fill := b.rate * b.share * clockSkewFactor
		v.RetryAfter = time.Duration((1 - b.tokens) / max(fill, 0.1) * float64(time.Second))
		return v
	}
	b.tokens = max(b.tokens-1, 0)
	b.shared--
	b.admitted++
	v.Admitted = true
	return v
}

// Refund gives a token back for an operation that has not run.
func (s *State) Refund(name model.Workspace) {
	b := s.workspaces[name]
	if b == nil || b.admitted == 0 {
		return
	}
	b.tokens = min(b.localBurst(), b.tokens+1)
	b.shared = min(b.burst, b.shared+1)
}
