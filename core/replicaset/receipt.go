package replicaset

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// maxSentCommits is the number of commits of this VM that are kept for a group, and
	// sentCommitInterval the minimum time between two of them. Together they span more than
	// CommitProofWindow.
	maxSentCommits     = 32
	sentCommitInterval = 20 * time.Millisecond
)

// sentCommit is a commit of this VM, acknowledged by the upstream primary: the end of its log,
// position, was written after sentAt.
type sentCommit struct {
	primary  model.UpstreamID
	position model.Position
	sentAt   model.Time
}

// recordSentCommit keeps a commit that the primary has acknowledged to this VM.
func (g *group) recordSentCommit(primary model.UpstreamID, position model.Position, sentAt model.Time) {
	n := len(g.sentCommits)
	if n > 0 {
		last := &g.sentCommits[n-1]
		if position.Compare(last.position) <= 0 || last.position.Term == position.Term && sentAt.Sub(last.sentAt) < sentCommitInterval {
			return
		}
	}
	if n == maxSentCommits {
		g.sentCommits = append(g.sentCommits[:0], g.sentCommits[1:]...)
	}
	g.sentCommits = append(g.sentCommits, sentCommit{primary: primary, position: position, sentAt: sentAt})
}

// recordReceipt records that a replica has the log up to position.
func (g *group) recordReceipt(m *Member, position model.Position) {
	received := 0
	for received < len(g.sentCommits) && g.sentCommits[received].position.Compare(position) <= 0 {
		if g.sentCommits[received].primary == m.ID {
			return
		}
		received++
	}
	if received == 0 {
		return
	}
	newest := g.sentCommits[received-1]
	if newest.position.Term == position.Term {
		g.receipt = newest
	}
	g.sentCommits = append(g.sentCommits[:0], g.sentCommits[received:]...)
}

// ReceivedSince returns a time since which a registered replica of a service is known to have
// received a commit that was written in the given term; 0 if there is none. It is known from
// commits of this VM.
func (s *State) ReceivedSince(service catalog.Service, term model.Term) model.Time {
	g := s.groups[service]
	if g == nil || g.receipt.position.Term != term {
		return 0
	}
	return g.receipt.sentAt
}
