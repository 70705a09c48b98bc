package linenode

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// latencyWeight is the weight of a new value in the moving average of the
	// latency.
	latencyWeight = 0.2
	// maxInFlightAge is how long the number of statements in flight that a holder has
	// reported is used.
	maxInFlightAge = 400 * time.Millisecond
)

// forwardedLoad is the load of an upstream as measured through its holder.
type forwardedLoad struct {
	// latency is the moving average of the duration of forwarded statements.
	latency time.Duration
	// inFlight is the number of statements that ran or waited for the upstream at the
	// holder when it last answered, at reportedAt.
	inFlight   int
	reportedAt time.Time
}

// recordLatency records the duration of a forwarded statement and the load reported
// with its answer. Statements that failed are not counted.
func (f *forwarder) recordLatency(id model.UpstreamID, latency time.Duration, o *upstreamrun.Outcome, r *holderlink.Report) {
	if o.Code != "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.loads[id]
	if l == nil {
		l = &forwardedLoad{latency: latency}
		f.loads[id] = l
	}
	l.latency += time.Duration(latencyWeight * float64(latency-l.latency))
	l.inFlight, l.reportedAt = r.InFlight, time.Now()
}

// holderLoad estimates how many milliseconds a statement on an upstream takes through
// its holder; ok is false if this VM uses its own connections.
func (f *forwarder) holderLoad(m *replicaset.Member) (load float64, ok bool) {
	if !f.usesHolder(m) {
		return 0, false
	}
	return f.estimateLoad(m), true
}

// usesHolder reports whether this VM sends statements for an upstream to its holder,
// not over its own connections.
func (f *forwarder) usesHolder(m *replicaset.Member) bool {
	for _, h := range f.members.holdersOf(m.Zone, m.ID) {
		if h.vm == f.cluster.self {
			return false
		}
		if f.usable(h) != nil {
			return true
		}
	}
	return false
}

// estimateLoad returns the latency of an upstream in milliseconds, increased in
// proportion to the statements in flight per slot; 0 if nothing is known.
func (f *forwarder) estimateLoad(m *replicaset.Member) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.loads[m.ID]
	if l == nil {
		return 0
	}
	load := float64(l.latency.Microseconds()) / 1000
	if time.Since(l.reportedAt) < maxInFlightAge {
		load *= 1 + float64(l.inFlight)/float64(max(m.Slots, 1))
	}
	return load
}

// forget removes the load of an upstream that no longer exists.
func (f *forwarder) forget(id model.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loads, id)
}
