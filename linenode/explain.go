package linenode

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// ExplainPath is the path of the page that explains where a request would go now. Its
// query parameters are database and workspace; the answer is an Explanation in JSON.
const ExplainPath = "/explain"

// Explanation says where a VM would send a request of a workspace to a database now.
// Nothing is sent, and no token of the workspace's rate is taken, to find out.
type Explanation struct {
	VM            model.VMID      `json:"vm"`
	ConfigVersion uint64          `json:"config_version"`
	Database      string          `json:"database"`
	Workspace     model.Workspace `json:"workspace"`
	// Refused is why a request would be refused without being sent, empty if it would
	// be sent. The fields below may then be empty.
	Refused string          `json:"refused,omitempty"`
	Route   string          `json:"route,omitempty"`
	Service catalog.Service `json:"service,omitempty"`
	// Write is where writes, and reads that have to see every commit, would go.
	Write *ExplainedWrite `json:"write,omitempty"`
	// Read is where other reads would go, nil for routes without them.
	Read *ExplainedRead `json:"read,omitempty"`
}

// ExplainedWrite is the primary as a VM knows it.
type ExplainedWrite struct {
	// Upstream is empty while no primary is known, for GapMS milliseconds.
	Upstream model.UpstreamID `json:"upstream"`
	GapMS    int64            `json:"gap_ms"`
	// Unusable is why the primary gets nothing, empty if it does.
	Unusable string `json:"unusable,omitempty"`
	// Holder is the VM whose connections would be used, empty for this one's.
	Holder model.VMID `json:"holder"`
	// ConfirmedMS is for how long it is known that no other upstream is the primary, in
	// milliseconds; 0 if that is not known.
	ConfirmedMS int64 `json:"confirmed_ms"`
}

// ExplainedRead is the choice of an upstream for a read.
type ExplainedRead struct {
	// Floor is the log position that the upstream has to have reached, and
	// EvidenceAgeMS the age of the evidence for it in milliseconds.
	Floor         string               `json:"floor"`
	EvidenceAgeMS int64                `json:"evidence_age_ms"`
	Candidates    []ExplainedCandidate `json:"candidates"`
}

// ExplainedCandidate is an upstream that may serve the read.
type ExplainedCandidate struct {
	Upstream model.UpstreamID `json:"upstream"`
	Zone     model.Zone       `json:"zone"`
	// Rank is the class of the candidate; those of the first class come first.
	Rank   string     `json:"rank"`
	Holder model.VMID `json:"holder"`
	// Probability is that of being tried first. EstimateMS is how long a read is expected
	// to take, InFlight the number of statements expected there, and FigureAgeMS the age
	// of the figures behind both, -1 if there are none. Without even balance, only the
	// order of the candidates is known.
	Probability float64 `json:"probability"`
	EstimateMS  float64 `json:"estimate_ms"`
	InFlight    float64 `json:"in_flight"`
	FigureAgeMS int64   `json:"figure_age_ms"`
}

// explain says where a request would go now.
func (c *cluster) explain(database string, w model.Workspace) Explanation {
	x := Explanation{VM: c.self, Database: database, Workspace: w}
	configuration := c.Catalog()
	if configuration == nil {
		x.Refused = errNoConfiguration.Error()
		return x
	}
	x.ConfigVersion = configuration.Version
	route := configuration.Route(database)
	switch {
	case route == nil:
		x.Refused = "no route has this database"
		return x
	case configuration.Workspace(w) == nil && !route.Anonymous:
		x.Refused = "the workspace is not known"
		return x
	}
	x.Route, x.Service = route.Name, route.Service
	x.Write = c.explainWrite(route.Service)
	if route.Freshness != catalog.FreshPrimary {
		x.Read, x.Refused = c.explainRead(route, w)
	}
	return x
}

func (c *cluster) explainWrite(service catalog.Service) *ExplainedWrite {
	m, usable := c.Primary(service)
	x := &ExplainedWrite{Upstream: m.ID, GapMS: c.PrimaryGap(service).Milliseconds()}
	if m.ID == "" {
		x.Unusable = "no primary is known"
		return x
	}
	c.mu.Lock()
	confirmed := c.replicas.ConfirmedUntil(m.ID).Sub(c.Now())
	eligible := c.replicas.Eligible(c.Now(), m.ID)
	c.mu.Unlock()
	x.ConfirmedMS = max(confirmed.Milliseconds(), 0)
	x.Holder = c.forward.holderInUse(m.ID)
	switch {
	case !eligible:
		x.Unusable = "leaving, or its zone is evacuated"
	case !usable:
		x.Unusable = "failing"
	case confirmed <= 0:
		x.Unusable = "not confirmed"
	}
	return x
}

// explainRead returns the candidates for a read, or why there are none.
func (c *cluster) explainRead(route *catalog.Route, w model.Workspace) (x *ExplainedRead, refused string) {
	floor, age, ok := c.Floor(route.Service, route.MaxStaleness, model.Position{})
	if !ok {
		return nil, "freshness cannot be proved"
	}
	return &ExplainedRead{
		Floor: lineproto.FormatPosition(floor), EvidenceAgeMS: age.Milliseconds(), Candidates: c.explainCandidates(route, floor, w),
	}, ""
}

// explainCandidates returns the upstreams that may serve a read at floor, in the order in
// which they would be tried now.
func (c *cluster) explainCandidates(route *catalog.Route, floor model.Position, w model.Workspace) []ExplainedCandidate {
	var candidates []ExplainedCandidate
	b := c.forward.balancer
	if b == nil {
		for _, candidate := range c.ReadCandidates(route, floor, w) {
			candidates = append(candidates, c.explainCandidate(&candidate))
		}
		return candidates
	}
	list, pools := c.unorderedCandidates(route.Service, floor)
	read := readOf(route, w)
	for _, p := range b.explain(c.Now(), &read, list, pools, c.zone) {
		explained := c.explainCandidate(&list[p.Index])
		explained.Probability, explained.InFlight = p.Probability, p.InFlight
		explained.EstimateMS = float64(p.Estimate) / float64(time.Millisecond)
		if p.FigureAge >= 0 {
			explained.FigureAgeMS = p.FigureAge.Milliseconds()
		}
		candidates = append(candidates, explained)
	}
	return candidates
}

func (c *cluster) explainCandidate(m *replicaset.Candidate) ExplainedCandidate {
	return ExplainedCandidate{
		Upstream: m.ID, Zone: m.Zone, Rank: m.RankName(), Holder: c.forward.holderInUse(m.ID), FigureAgeMS: -1,
	}
}

// holderInUse returns the VM whose connections to an upstream are used now, empty for
// this VM's own.
func (f *forwarder) holderInUse(id model.UpstreamID) model.VMID {
	for _, h := range f.holdersOf(id) {
		if h.vm == f.cluster.self {
			break
		}
		if f.usable(h) != nil {
			return h.vm
		}
	}
	return ""
}

// serveExplain answers requests for ExplainPath.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client is gone.
	_ = json.NewEncoder(w).Encode(n.cluster.explain(query.Get("database"), model.Workspace(query.Get("workspace"))))
}
