// Package quota divides the rate of each workspace over the VMs by what callers
// ask of each of them. Every VM computes all shares from the same reports, so
// that the shares add up to one without an owner or a call before a request is
// admitted. It is pure.
package quota

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// SilentAfter is how long a VM's report counts; it is several reporting
	// intervals, so that one lost report changes nothing.
	SilentAfter = 1500 * time.Millisecond
	// raiseDelay is how long a VM waits with a higher share of its own, until
	// its peers have its report.
	raiseDelay = 800 * time.Millisecond
	// demandWindow smooths the arrivals: shares follow where callers are, not
	// the chance of single seconds.
	demandWindow = 3 * time.Second
	// firstTokens is the part of a second's tokens that a VM starts with: what
	// was used before a restart still counts.
	firstTokens = 0.25
	// clockMargin reduces the refill for clocks that run fast.
	clockMargin = 0.98
	// evenShare is the part of a rate that is divided evenly, so that a VM with
	// new callers has some at once; the rest follows the demand.
	evenShare = 0.12
	// unknownVMs is how many VMs share a rate while the list of VMs is unknown.
	unknownVMs = 16
	// leastCap is the least number of tokens that a VM may save up.
	leastCap = 1.0
)

// Demand is how many operations a second reach a VM for a workspace.
type Demand struct {
	Workspace model.Workspace
	PerSecond float64
}

// State has the shares of one VM.
type State struct {
	self       model.VMID
	members    []model.VMID
	reports    map[model.VMID]*report
	workspaces map[model.Workspace]*bucket
	ticked     model.Time
}

// report is the newest report of a peer.
type report struct {
	at      model.Time
	demands map[model.Workspace]float64
}

// sample is a published demand.
type sample struct {
	at     model.Time
	demand float64
}

// bucket has this VM's tokens of one workspace.
type bucket struct {
	rate, burst float64
	share       float64
	tokens      float64
	filled      model.Time
	arrivals    float64
	demand      float64
	// seen is for how long arrivals have been counted.
	seen      time.Duration
	published []sample
}

// New returns the state of a VM that has just started.
func New(self model.VMID) *State {
	return &State{self: self, reports: map[model.VMID]*report{}, workspaces: map[model.Workspace]*bucket{}}
}

// Configure takes over the rates of a configuration.
func (s *State) Configure(now model.Time, c *catalog.Snapshot) {
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		b := s.workspaces[w.Name]
		if b == nil {
			b = &bucket{filled: now}
			b.rate, b.burst = w.Rate, w.Burst
			b.share = s.shareOf(now, w.Name, b)
			b.tokens = min(b.cap(), b.share*w.Rate*firstTokens)
			s.workspaces[w.Name] = b
			continue
		}
		b.refill(now)
		b.rate, b.burst = w.Rate, w.Burst
		b.tokens = min(b.tokens, b.cap())
	}
	for name := range s.workspaces {
		if c.Workspace(name) == nil {
			delete(s.workspaces, name)
		}
	}
}

// SetMembers takes over the list of VMs, this one included.
func (s *State) SetMembers(now model.Time, members []model.VMID) {
	s.members = members
	for vm := range s.reports {
		if !slices.Contains(members, vm) {
			delete(s.reports, vm)
		}
	}
	s.reshare(now)
}

// Report takes over what a peer said at the time at or later.
func (s *State) Report(at model.Time, vm model.VMID, demands []Demand) {
	r := s.reports[vm]
	if r == nil {
		r = &report{}
		s.reports[vm] = r
	}
	if at < r.at {
		return
	}
	r.at = at
	r.demands = make(map[model.Workspace]float64, len(demands))
	for _, d := range demands {
		r.demands[d.Workspace] = d.PerSecond
	}
}

// Tick smooths the demands, recomputes the shares and returns what peers are
// to be told.
func (s *State) Tick(now model.Time) []Demand {
	elapsed := now.Sub(s.ticked)
	if s.ticked == 0 {
		elapsed = demandWindow
	}
	s.ticked = now
	var demands []Demand
	for name, b := range s.workspaces {
		b.smooth(now, elapsed)
		if b.demand > 0.01 {
			demands = append(demands, Demand{Workspace: name, PerSecond: b.demand})
		}
	}
	s.reshare(now)
	return demands
}

// smooth averages the arrivals over demandWindow, or over the time since the
// first arrival while that is shorter.
func (b *bucket) smooth(now model.Time, elapsed time.Duration) {
	if b.seen == 0 && b.arrivals == 0 {
		return
	}
	b.seen = min(b.seen+elapsed, demandWindow)
	weight := min(1, elapsed.Seconds()/b.seen.Seconds())
	rate := b.arrivals / max(elapsed.Seconds(), 0.001)
	b.demand += weight * (rate - b.demand)
	b.arrivals = 0
	b.published = append(b.published, sample{at: now, demand: b.demand})
	old := 0
	for old < len(b.published)-1 && now.Sub(b.published[old+1].at) >= raiseDelay {
		old++
	}
	b.published = append(b.published[:0], b.published[old:]...)
}

// reported returns a demand that all peers have been told, unless the present
// one is lower.
func (b *bucket) reported() float64 {
	if len(b.published) == 0 {
		return 0
	}
	return min(b.demand, b.published[0].demand)
}

func (s *State) reshare(now model.Time) {
	for name, b := range s.workspaces {
		b.refill(now)
		b.share = s.shareOf(now, name, b)
		b.tokens = min(b.tokens, b.cap())
	}
}

// shareOf returns this VM's part of a workspace's rate.
func (s *State) shareOf(now model.Time, name model.Workspace, b *bucket) float64 {
	n := float64(len(s.members))
	if n == 0 {
		return 1.0 / unknownVMs
	}
	total, silent := b.demand, 0.0
	for _, vm := range s.members {
		if vm == s.self {
			continue
		}
		r := s.reports[vm]
		if r == nil || now.Sub(r.at) > SilentAfter {
			silent++
			continue
		}
		total += r.demands[name]
	}
	heard := n - silent
	share := 1 / heard
	if total > 0 {
		share = evenShare/heard + (1-evenShare)*b.reported()/total
	}
	share *= 1 - silent/n
	if silent*2 >= n {
		// Cut off from most VMs, which count on no more than an even part.
		return min(share, 1/n)
	}
	return share
}

// LoadShare returns this VM's part of the operations that reach all VMs.
func (s *State) LoadShare(now model.Time) float64 {
	own, total := 0.0, 0.0
	for _, b := range s.workspaces {
		own += b.demand
	}
	total = own
	for vm, r := range s.reports {
		if vm == s.self || now.Sub(r.at) > SilentAfter {
			continue
		}
		for _, d := range r.demands {
			total += d
		}
	}
	if total <= 0 {
		return 1 / float64(max(len(s.members), 1))
	}
	return own / total
}

// cap returns how many tokens this VM may save up.
func (b *bucket) cap() float64 { return max(b.share*b.burst, leastCap) }

func (b *bucket) refill(now model.Time) {
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = now
	b.tokens = min(b.cap(), b.tokens+elapsed.Seconds()*b.rate*b.share*clockMargin)
}

// Verdict is the answer to Admit. Share and Tokens are the inputs.
type Verdict struct {
	Admitted   bool
	RetryAfter time.Duration
	Share      float64
	Tokens     float64
}

// Admit takes the token of one operation. Workspaces without a rate are
// admitted.
func (s *State) Admit(now model.Time, name model.Workspace) Verdict {
	b := s.workspaces[name]
	if b == nil || b.rate <= 0 {
		return Verdict{Admitted: true}
	}
	b.refill(now)
	b.arrivals++
	if b.tokens >= 1 {
		b.tokens--
		return Verdict{Admitted: true, Share: b.share, Tokens: b.tokens}
	}
	fill := b.rate * b.share * clockMargin
	wait := time.Duration((1 - b.tokens) / max(fill, 0.1) * float64(time.Second))
	return Verdict{RetryAfter: wait, Share: b.share, Tokens: b.tokens}
}

// Return gives a token back for an operation that has not run.
func (s *State) Return(name model.Workspace) {
	if b := s.workspaces[name]; b != nil {
		b.tokens = min(b.cap(), b.tokens+1)
	}
}
