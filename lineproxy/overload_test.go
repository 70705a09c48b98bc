package lineproxy

import (
	"strings"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/admission"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// overloadedCluster has upstreams that refuse statements by their estimated wait.
type overloadedCluster struct {
	advancingCluster
	// waits is the estimated wait at each upstream.
	waits map[model.UpstreamID]time.Duration

	mu     sync.Mutex
	places []upstreamrun.Place
}

func (c *overloadedCluster) ReadCandidates(*catalog.Route, model.Position, model.Workspace) []replicaset.Candidate {
	var all []replicaset.Candidate
	for _, id := range []model.UpstreamID{"i-1", "i-2", "i-3"} {
		all = append(all, replicaset.Candidate{Member: replicaset.Member{Registration: replicaset.Registration{ID: id}}})
	}
	return all
}

func (c *overloadedCluster) Primary(catalog.Service) (replicaset.Member, bool) {
	return replicaset.Member{Registration: replicaset.Registration{ID: "i-1"}}, true
}

// refuse refuses a statement as the queue of an upstream does, or returns nil.
func (c *overloadedCluster) refuse(p *upstreamrun.Place) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.places = append(c.places, *p)
	wait := c.waits[p.Upstream]
	if p.Elsewhere && wait > time.Until(p.Objective) || wait > time.Until(p.Deadline) {
		return &upstreampool.OverloadedError{Upstream: p.Upstream, Refusal: admission.Refusal{
			Cause: admission.TooLate, Estimate: wait, RetryAfter: 321 * time.Millisecond,
		}}
	}
	return nil
}

func (c *overloadedCluster) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) {
	return upstreamrun.Outcome{}, c.refuse(&r.Place)
}

func (c *overloadedCluster) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	return nil, upstreamrun.Outcome{}, c.refuse(&r.Place)
}

func (c *overloadedCluster) session(byDeadline bool) *session {
	snapshot := &catalog.Snapshot{Version: 1, Routes: []catalog.Route{{
		Database: "d", Service: "s", Freshness: catalog.FreshBounded, MaxStaleness: time.Second,
		StatementTimeout: 5 * time.Second, TargetLatency: time.Second, Anonymous: true,
	}}}
	c.start, c.catalog = time.Now(), snapshot.Index()
	server := NewServer(Options{Cluster: c, Log: zerolog.Nop(), Metrics: metrics.NewRegistry(), ByDeadline: byDeadline})
	return &session{server: server, database: "d"}
}

// Guards against a read that waits at a full upstream although another one has room, is
// refused although it can still be served late, or is sent again at once after all have
// refused it; and against a refusal without the delay that the queue estimated.
func TestReadsGoWhereTheyAreServed(t *testing.T) {
	long, hopeless := 2*time.Second, time.Minute
	for name, tt := range map[string]struct {
		waits  map[model.UpstreamID]time.Duration
		sentTo string
		served bool
	}{
		"room":                {nil, "i-1", true},
		"room at the second":  {map[model.UpstreamID]time.Duration{"i-1": long}, "i-1 i-2", true},
		"late at the best":    {map[model.UpstreamID]time.Duration{"i-1": 2 * long, "i-2": long, "i-3": 2 * long}, "i-1 i-2 i-3 i-2", true},
		"no chance at any":    {map[model.UpstreamID]time.Duration{"i-1": hopeless, "i-2": hopeless, "i-3": hopeless}, "i-1 i-2 i-3 i-1", false},
		"no chance at two":    {map[model.UpstreamID]time.Duration{"i-1": hopeless, "i-2": hopeless}, "i-1 i-2 i-3", true},
		"late only at one":    {map[model.UpstreamID]time.Duration{"i-1": hopeless, "i-2": hopeless, "i-3": long}, "i-1 i-2 i-3 i-3", true},
		"the first is slower": {map[model.UpstreamID]time.Duration{"i-1": 100 * time.Millisecond}, "i-1", true},
	} {
		c := &overloadedCluster{waits: tt.waits}
		r := c.session(true).run("id", "READ item")
		var sentTo []string
		for _, p := range c.places {
			sentTo = append(sentTo, string(p.Upstream))
		}
		if got := strings.Join(sentTo, " "); got != tt.sentTo {
			t.Errorf("%s: sent to %s, want %s", name, got, tt.sentTo)
		}
		if tt.served != (r.code == "") || !tt.served && (r.code != lineproto.Busy || !strings.HasSuffix(r.text, "retry after 321 ms")) {
			t.Errorf("%s: %s %s", name, r.code, r.text)
		}
	}
}

// Guards against writes and transactions that are tried again in the time for which the
// queue has refused them.
func TestRefusedWriteIsNotRepeated(t *testing.T) {
	for _, text := range []string{"WRITE item x", "BEGIN"} {
		c := &overloadedCluster{waits: map[model.UpstreamID]time.Duration{"i-1": time.Minute}}
		s := c.session(true)
		r := s.run("id", text)
		if text == "BEGIN" {
			r = s.run("id2", "WRITE item x")
		}
		if len(c.places) != 1 || r.code != lineproto.Busy || !strings.HasSuffix(r.text, "retry after 321 ms") {
			t.Errorf("%s: %d attempts, %s %s", text, len(c.places), r.code, r.text)
		}
	}
}

// Guards against objectives that reach the queues of other VMs from a VM where statements
// do not wait by their deadlines, or of a service without a route of the highest priority.
func TestObjectivesAreSentByDeadlineOnly(t *testing.T) {
	for _, tt := range []struct {
		setting  bool
		priority int
		want     bool
	}{{false, catalog.TopPriority, false}, {true, catalog.TopPriority, true}, {true, 1, false}} {
		c := &overloadedCluster{}
		s := c.session(tt.setting)
		c.catalog.Routes[0].Priority = tt.priority
		c.catalog.Index()
		s.run("id", "READ item")
		if p := c.places[0]; p.Objective.IsZero() == tt.want || p.Elsewhere != tt.want {
			t.Errorf("%+v: %+v", tt, p)
		}
	}
}
