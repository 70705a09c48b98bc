package linenode

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

const (
	// sampledCommits is how many lines a second are written of commits whose primary was
	// confirmed in advance.
	sampledCommits = 2
	// unconfirmedCommits is the same limit for commits that were not proved, or whose primary
	// was not confirmed by the holder of the promotion lease or by vouchers.
	unconfirmedCommits = 50
)

// proofMetrics has the names of the counters, by whether commits were proved and by what had
// confirmed the primary.
var proofMetrics = func() (names [2][replicaset.SourceStatuses + 1]string) {
	for proved, name := range []string{"failed", "proved"} {
		for source := range replicaset.SourceStatuses + 1 {
			names[proved][source] = "commit_proofs." + name + "." + source.String()
		}
	}
	return names
}()

// commitLog writes what proved commits, for a bounded number of them.
type commitLog struct {
	sampled, unconfirmed zerolog.Logger
}

func newCommitLog(log zerolog.Logger) commitLog {
	return commitLog{
		sampled:     log.Sample(&zerolog.BurstSampler{Burst: sampledCommits, Period: time.Second}),
		unconfirmed: log.Sample(&zerolog.BurstSampler{Burst: unconfirmedCommits, Period: time.Second}),
	}
}

// report counts a commit and logs what proved it. Times in the line are in milliseconds; "confirmed"
// is for how much longer the primary is confirmed, negative if that has ended.
func (p *commitProofs) report(commit *replicaset.AcknowledgedCommit, proved bool) {
	c := p.cluster
	c.mu.Lock()
	now := c.Now()
	until, source := c.replicas.Confirmation(commit.Primary)
	c.mu.Unlock()
	result := 0
	if proved {
		result = 1
	}
	c.forward.count(proofMetrics[result][source])
	log := &p.log.sampled
	if !proved || until < now || source != replicaset.SourceHolder && source != replicaset.SourceVouchers {
		log = &p.log.unconfirmed
	}
	e := log.Info()
	if e == nil {
		return
	}
	c.mu.Lock()
	provers, fenceTerm := provers(c.replicas, commit)
	c.mu.Unlock()
	e = e.Str("service", string(commit.Service)).Str("upstream", string(commit.Primary)).Str("position", lineproto.FormatPosition(commit.Position)).
		Strs("received_by", provers).Str("confirmed_by", source.String()).
		Uint64("fence_term", fenceTerm).Dur("waited", now.Sub(commit.AcknowledgedAt))
	if source != replicaset.SourceNone {
		e = e.Dur("confirmed", until.Sub(now))
	}
	if !proved {
		e.Msg("commit not proved")
		return
	}
	e.Msg("commit proved")
}

// provers returns the replicas that are known to have received a commit, and the highest term
// for which an upstream of the service is known to be fenced, 0 if none is.
func provers(replicas *replicaset.State, commit *replicaset.AcknowledgedCommit) (ids []string, fenceTerm uint64) {
	for _, id := range replicas.Upstreams(commit.Service) {
		m, _ := replicas.Member(id)
		fenceTerm = max(fenceTerm, m.Status.FencedTerm)
		if id != commit.Primary && m.Holds(commit.Position) {
			ids = append(ids, string(id))
		}
	}
	return ids, fenceTerm
}
