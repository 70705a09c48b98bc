// Package quota limits each workspace to its rate and burst across all VMs,
// without a central owner of the token bucket and without a remote call before an
// operation is admitted. It is a pure state machine: it performs no I/O, and the
// time is passed in.
//
// Every VM maintains an estimate of the workspace's shared token bucket from the
// admissions that its peers report. While the shared bucket is well filled, a VM
// admits every operation. When it runs low, each VM admits only its share of the
// rate, which follows its share of the demand; all VMs compute the shares from the
// same reports.
package quota

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// ReportTTL is how long a VM's report is valid. It spans several reporting
	// intervals, so that the loss of one report has no effect.
	ReportTTL = 1500 * time.Millisecond
	// isolatedAfter is how long a VM that gets reports from few peers keeps its
	// share. It is shorter than ReportTTL, so that the VM falls back to an even
	// share before its peers distribute the rest among themselves.
	isolatedAfter = 900 * time.Millisecond
	// shareIncreaseDelay is how long a VM waits before it uses a higher share of
	// its own, so that its peers have received its report.
	shareIncreaseDelay = 800 * time.Millisecond
	// startupPeriod is how long the demand of a VM counts as unknown after its
	// start: shareIncreaseDelay after its first reports.
	startupPeriod = 1500 * time.Millisecond
	// demandWindow is the averaging window of arrivals. It is long enough for the
	// shares to follow the distribution of callers rather than random variation
	// between single seconds.
	demandWindow = 3 * time.Second
	// initialFillFraction is the fraction of the burst that a VM assumes to be
	// available at its start: tokens used before the start still count, but the
	// bucket was refilled for the short time that the VMs were down.
	initialFillFraction = 0.5
	// lowFillFraction is the fraction of the burst below which the shared bucket
	// counts as low. It covers what peers admit between two reports.
	lowFillFraction = 0.4
	// localBurstFraction is the fraction of the burst that the VMs together may
	// accumulate in their local buckets for use while the shared bucket is low.
	localBurstFraction = 0.3
	// minRefillFactor is the lower limit of refillFactor.
	minRefillFactor = 0.4
	// clockSkewFactor reduces the refill to allow for clocks that run fast.
	clockSkewFactor = 0.99
	// evenFraction is the fraction of a rate that is divided evenly, so that a VM
	// with new callers has tokens at once. The rest is divided by demand.
	evenFraction = 0.12
	// assumedVMs is the number of VMs assumed to share a rate while the list of VMs
	// is unknown.
	assumedVMs = 16
	// minLocalBurst is the minimum capacity of a local bucket, in tokens.
	minLocalBurst = 1.0
)

// Demand is a VM's reported use of a workspace.
type Demand struct {
	Workspace model.Workspace
	// PerSecond is the average rate of operations that arrive at the VM.
	PerSecond float64
	// Admitted is the number of operations admitted by the VM since its start.
	Admitted uint64
}

// Report is sent by a VM to its peers.
type Report struct {
	VM model.VMID
	// Incarnation differs between any two starts of the VM.
	Incarnation uint64
	// VMs is the number of VMs that the report covers; 0 counts as 1.
	VMs     int
	Demands []Demand
}

// State has the token buckets and shares of one VM.
type State struct {
	self    model.VMID
	members []model.VMID
	// sources are the IDs whose reports together cover all other VMs: every other
	// VM, or Others if a hub sums the reports of all of them.
	sources    []model.VMID
	reports    map[model.VMID]*report
	workspaces map[model.Workspace]*bucket
	lastTick   model.Time
	// startedAt is the time of the first configuration.
	startedAt model.Time
}

// report is the newest report from a source.
type report struct {
	at          model.Time
	vms         int
	incarnation uint64
	demands     map[model.Workspace]Demand
	// shares are the peer's shares of the rates as of its report. An isolated VM
	// uses at most these shares, and at most an even share.
	shares map[model.Workspace]float64
}

// demandSample is a demand that was reported to peers.
type demandSample struct {
	at     model.Time
	demand float64
}

// bucket is the state of one workspace's limit on this VM.
type bucket struct {
	rate, burst float64
	share       float64
	// tokens is the fill of the local bucket, shared the estimated fill of the
	// workspace's bucket across all VMs.
	tokens float64
	shared float64
	// unreported is the share of the rate reserved for VMs without a valid report.
	unreported float64
	// isolated is true while too few peers report for a valid estimate of the
	// shared bucket.
	isolated bool
	// refilled is the time of the last refill of both buckets.
	refilled model.Time
	// admitted is the number of operations admitted since the start.
	admitted uint64
	// arrivals is the number of operations since the last tick, demand their average
	// rate per second.
	arrivals float64
	demand   float64
	// observed is how long arrivals have been counted, at most demandWindow.
	observed time.Duration
	// publishedDemands has the reported demands, oldest first: those of the last
	// shareIncreaseDelay and the one before, if any.
	publishedDemands []demandSample
}

// New returns the state of a VM that has just started.
func New(self model.VMID) *State {
	return &State{self: self, reports: map[model.VMID]*report{}, workspaces: map[model.Workspace]*bucket{}}
}

// Configure applies the rates and bursts of a configuration.
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

// SetMembers sets the list of VMs, this VM included, and the sources whose reports
// together cover all other VMs.
func (s *State) SetMembers(now model.Time, members, sources []model.VMID) {
	s.members, s.sources = members, sources
	for vm := range s.reports {
		if !slices.Contains(sources, vm) {
			delete(s.reports, vm)
		}
	}
	s.updateShares(now)
}

// AddReport applies a report that a source made at time at or later. It ignores a
// report older than the last one from the source.
func (s *State) AddReport(at model.Time, received *Report) {
	r := s.reports[received.VM]
	if r != nil && at < r.at {
		return
	}
	next := &report{at: at, vms: max(received.VMs, 1), incarnation: received.Incarnation, demands: make(map[model.Workspace]Demand, len(received.Demands)), shares: map[model.Workspace]float64{}}
	if r != nil {
		next.shares = r.shares
	}
	// While the peer's report was expired, its share of the refill was reserved
	// for it, so its admissions during that time are not subtracted.
	tracked := r != nil && at.Sub(r.at) <= ReportTTL
	for _, d := range received.Demands {
		next.demands[d.Workspace] = d
		if b := s.workspaces[d.Workspace]; b != nil && tracked {
			b.shared -= float64(admittedSince(r, next.incarnation, &d))
		}
	}
	s.reports[received.VM] = next
}

// admittedSince returns the number of operations that a source has admitted since
// its last report.
func admittedSince(last *report, incarnation uint64, d *Demand) uint64 {
	known, found := last.demands[d.Workspace]
	switch {
	case last.vms > 1 && (!found || last.incarnation != incarnation):
		// The counts of another hub, or of a restarted one, have another origin.
		return 0
	case last.incarnation != incarnation:
		return d.Admitted
	case d.Admitted < known.Admitted:
		return 0
	}
	return d.Admitted - known.Admitted
}

// Tick updates the averages of demands, recomputes the shares and returns the
// demands to report to peers.
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

// smooth updates the average of arrivals over demandWindow, or over the time since
// the first arrival while that is shorter.
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

// publishedDemand returns a demand that all peers have received, or the current one
// if it is lower. It returns 0 if peers have not received any yet.
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

// computeShare returns this VM's share of a workspace's rate, and sets unreported
// and isolated.
func (s *State) computeShare(now model.Time, name model.Workspace, b *bucket) float64 {
	n := float64(len(s.members))
	if n == 0 {
		b.isolated, b.unreported = true, 1
		return 1.0 / assumedVMs
	}
	// notRecent, reporting and unreported are numbers of VMs: those without a report
	// within isolatedAfter, those with a valid report (this VM included), and those
	// without any report. b.unreported is a share of the rate instead: that of all
	// VMs without a valid report, summed in reserved.
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
		// The peers do not know this VM's demand yet, so it gets at least an
		// even share.
		share = max(share, 1/n)
	}
	b.unreported = reserved
	s.recordShares(now, name, total, reporting)
	b.isolated = notRecent*2 >= n
	if b.isolated {
		// This VM is isolated from most VMs, which reserve at most an even share
		// for it.
		return min(share, 1/n)
	}
	return share
}

// recordShares stores the shares of a workspace's rate that reporting peers may use.
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

// localBurst returns the capacity of the local bucket.
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

// refillFactor returns the factor by which the refill of the local bucket slows down
// while the shared bucket is overdrawn.
func (b *bucket) refillFactor() float64 {
	if b.shared >= 0 || b.burst <= 0 {
		return 1
	}
	return max(minRefillFactor, 1+b.shared/b.burst)
}

// isLow reports whether the shared bucket is too low to admit every operation, or its
// fill cannot be estimated because the VM is isolated.
func (b *bucket) isLow() bool { return b.isolated || b.shared < max(lowFillFraction*b.burst, 1) }

// Decision is the result of Admit, with the inputs Share, Tokens and Shared.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
	// Share is this VM's share of the rate, Tokens the fill of its local bucket, and
	// Shared the estimated fill of the shared bucket.
	Share  float64
	Tokens float64
	Shared float64
}

// Admit takes one token for an operation, or refuses the operation with the time
// after which to retry. Operations of workspaces without a rate are always admitted.
func (s *State) Admit(now model.Time, name model.Workspace) Decision {
	b := s.workspaces[name]
	if b == nil || b.rate <= 0 {
		return Decision{Admitted: true}
	}
	b.refill(now)
	b.arrivals++
	d := Decision{Share: b.share, Tokens: b.tokens, Shared: b.shared}
	if b.tokens < 1 && b.isLow() {
		fill := b.rate * b.share * clockSkewFactor
		d.RetryAfter = time.Duration((1 - b.tokens) / max(fill, 0.1) * float64(time.Second))
		return d
	}
	b.tokens = max(b.tokens-1, 0)
	b.shared--
	b.admitted++
	d.Admitted = true
	return d
}

// Refund returns the token of an operation that was admitted but has not run.
func (s *State) Refund(name model.Workspace) {
	b := s.workspaces[name]
	if b == nil || b.admitted == 0 {
		return
	}
	b.tokens = min(b.localBurst(), b.tokens+1)
	b.shared = min(b.burst, b.shared+1)
}
