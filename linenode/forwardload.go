package linenode

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// forwardedWeight is the weight of a new value in the smoothed latency.
	forwardedWeight = 0.2
	// underWayAge is how long a holder's count of statements is used.
	underWayAge = 400 * time.Millisecond
)

// forwardedLoad is how long statements take that go to an upstream by its holder.
type forwardedLoad struct {
	latency  time.Duration
	underWay int
	at       time.Time
}

// load takes an answered statement into account.
func (f *forwarder) load(id model.UpstreamID, latency time.Duration, o *upstreamrun.Outcome, r *holderlink.Report) {
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
	l.latency += time.Duration(forwardedWeight * float64(latency-l.latency))
	l.underWay, l.at = r.InFlight, time.Now()
}

// loadOf estimates how many milliseconds a statement takes on an upstream by its
// holder; ok is false if this VM uses its own connections.
func (f *forwarder) loadOf(m *replicaset.Member) (load float64, ok bool) {
	for _, h := range f.members.holdersOf(m.Zone, m.ID) {
		if h.vm == f.cluster.self {
			return 0, false
		}
		if f.usable(h) != nil {
			return f.estimate(m), true
		}
	}
	return 0, false
}

func (f *forwarder) estimate(m *replicaset.Member) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.loads[m.ID]
	if l == nil {
		return 0
	}
	load := float64(l.latency.Microseconds()) / 1000
	if time.Since(l.at) < underWayAge {
		load *= 1 + float64(l.underWay)/float64(max(m.Slots, 1))
	}
	return load
}

// forget drops what is known of an upstream that is gone.
func (f *forwarder) forget(id model.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loads, id)
}
