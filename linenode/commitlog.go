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

// proofKind is how a commit is proved.
type proofKind uint8

// Kinds of proofs.
const (
	// proofNone: no proof was found in time.
	proofNone proofKind = iota
	// proofNoReplicas: no replica is registered.
	proofNoReplicas
	// proofReplica: a registered replica has received the commit.
	proofReplica
	// proofCrossed: a replica receives the log, and the acknowledgement has crossed zones.
	proofCrossed
	// proofReach: a replica receives the log, and another zone has answered.
	proofReach
)

// String returns the name that log lines and metrics use.
func (k proofKind) String() string {
	return [...]string{"none", "no replicas", "replica", "receiving+crossed", "receiving+reach"}[k]
}

// proofMetrics has the names of the counters, by kind of proof and by what had confirmed the
// primary.
var proofMetrics = func() (names [proofReach + 1][replicaset.SourceStatuses + 1]string) {
	kinds := [...]string{"none", "no_replicas", "replica", "crossed", "reach"}
	for kind, name := range kinds {
		for source := range replicaset.SourceStatuses + 1 {
			names[kind][source] = "commit_proofs.by." + name + "." + source.String()
		}
	}
	return names
}()

// kindOf returns the kind of a proof that needs no question to another zone.
func kindOf(p *replicaset.CommitProof) proofKind {
	switch {
	case p.Held:
		return proofReplica
	case !p.Replicas:
		return proofNoReplicas
	}
	return proofCrossed
}

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

// report counts and logs how a commit was proved. Times in the line are in milliseconds; "confirmed" is for how much longer the
// primary is confirmed, negative if that has ended.
func (p *commitProofs) report(commit *replicaset.AcknowledgedCommit, kind proofKind) {
	c := p.cluster
	c.mu.Lock()
	now := c.Now()
	until, source := c.replicas.Confirmation(commit.Primary)
	c.mu.Unlock()
	c.forward.count(proofMetrics[kind][source])
	log := &p.log.sampled
	if kind == proofNone || until < now || source != replicaset.SourceHolder && source != replicaset.SourceVouchers {
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
		Str("proof", kind.String()).Strs("received_by", provers).Str("confirmed_by", source.String()).
		Uint64("fence_term", fenceTerm).Dur("waited", now.Sub(commit.AcknowledgedAt))
	if source != replicaset.SourceNone {
		e = e.Dur("confirmed", until.Sub(now))
	}
	if kind == proofNone {
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
