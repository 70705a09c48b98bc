package linenode

import (
	"bytes"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// Guards against commits of which nothing tells who proved them and what had confirmed their
// primary, and against a line for each commit.
func TestCommitsAreLoggedWithTheirProof(t *testing.T) {
	var log bytes.Buffer
	o := Options{VM: "vm", Zone: "z", Log: zerolog.New(&log), Registry: metrics.NewRegistry()}
	c := newCluster(o)
	m := newMembers(o, c)
	c.forward = newForwarder(c.probes.ctx, c, m, newLinks())
	c.proofs = newCommitProofs(c)
	c.catalog.Store((&catalog.Snapshot{Version: 1, Services: []catalog.ServiceConfig{{Name: "db", SyncReplicas: 1}}}).Index())
	position := model.Position{Term: model.Term{Counter: 1}, Pos: 7}
	c.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: c.Now(), Registrations: []replicaset.Registration{
		{ID: "a", Service: "db", Primary: true}, {ID: "b", Service: "db"},
	}})
	c.Observe(&replicaset.Event{Kind: replicaset.EventStatus, Upstream: "a", SentAt: c.Now(), Status: replicaset.Status{Primary: true, Term: 1, Received: position}})
	c.Observe(&replicaset.Event{Kind: replicaset.EventStatus, Upstream: "b", SentAt: c.Now(), Status: replicaset.Status{Term: 1, FencedTerm: 2, Received: position}})
	place := &upstreamrun.Place{Service: "db", Upstream: "a", Deadline: time.Now().Add(100 * time.Millisecond)}
	if c.ConfirmCommit(place, position) {
		t.Fatal("a commit is passed on although nobody promises its primary")
	}
	for _, part := range []string{`"upstream":"a"`, `"message":"commit not proved"`, `"received_by":["b"]`, `"confirmed_by":"none"`, `"fence_term":2`} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("no %s in %s", part, log.String())
		}
	}
	c.Observe(&replicaset.Event{Kind: replicaset.EventConfirmed, Upstream: "a", Term: 1, SentAt: c.Now(), Until: c.Now().Add(time.Minute)})
	log.Reset()
	const commits = 10 * sampledCommits
	for range commits {
		c.ConfirmCommit(place, position)
	}
	// The second in which lines are counted may end once in between.
	if lines := strings.Count(log.String(), `"confirmed_by":"holder"`); lines < 1 || lines > 2*sampledCommits {
		t.Errorf("%d lines for %d commits", lines, commits)
	}
	if n := metrics.GetOrRegisterCounter("commit_proofs.proved.holder", o.Registry).Count(); n != commits {
		t.Errorf("%d of %d commits counted", n, commits)
	}
}

// Guards against a line of a decision that lacks the upstreams that were compared.
func TestGroupReportIsLogged(t *testing.T) {
	var log bytes.Buffer
	logger := zerolog.New(&log)
	r := &promotion.GroupReport{
		FenceTerm: 3, ListAge: 250 * time.Millisecond, EvidenceAge: time.Second,
		Evidence: &replicaset.Evidence{Position: model.Position{Term: model.Term{Counter: 2}, Pos: 9}},
		Members: []promotion.MemberReport{
			{ID: "a", Leaving: true, Failing: true},
			{ID: "b", Heard: true, Term: 2, FencedTerm: 3, Received: model.Position{Term: model.Term{Counter: 2}, Pos: 8}, StatusAge: 20 * time.Millisecond},
		},
	}
	logger.Info().EmbedObject(groupLog{r}).EmbedObject(groupLog{}).Send()
	want := `{"level":"info","fence_term":3,"list_age":250,"unconfirmed":0,"evidence":"2.9","evidence_age":1000,"members":[` +
		`{"upstream":"a","leaving":true,"failing":true},` +
		`{"upstream":"b","leaving":false,"failing":false,"role":"replica","term":2,"fenced":3,"received":"2.8","status_age":20}]}`
	if got := strings.TrimSpace(log.String()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Guards against a service without a primary whose log lacks why no target is safe.
func TestBlockedTargetIsLogged(t *testing.T) {
	var log bytes.Buffer
	transitions := newTransitions(Options{Log: zerolog.New(&log)}, nil, nil)
	transitions.execute(t.Context(), &promotion.Effect{
		Kind: promotion.EffectTargetBlocked, Service: "db", Cause: "upstream not fenced", Upstream: "b", Target: "c", Elapsed: 20 * time.Millisecond,
		Group: &promotion.GroupReport{FenceTerm: 3, Members: []promotion.MemberReport{{ID: "b"}}},
	})
	want := `{"level":"info","service":"db","cause":"upstream not fenced","upstream":"b","target":"c","elapsed":20,` +
		`"fence_term":3,"list_age":0,"unconfirmed":0,"members":[{"upstream":"b","leaving":false,"failing":false}],"message":"no target is safe yet"}`
	if got := strings.TrimSpace(log.String()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
