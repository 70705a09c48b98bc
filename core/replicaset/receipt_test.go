package replicaset

import (
	"testing"
	"time"
)

// Guards against a replica that counts as receiving although it has only received commits from
// before a cut, or because the primary itself, or a former one, has the commits; and against
// growth with the number of commits.
func TestReceivedSince(t *testing.T) {
	f := newSyncFixture()
	commit := func(n uint64) {
		f.apply(Event{Kind: EventCommitted, Upstream: "a", SentAt: f.now, Position: pos(1, n)})
	}
	received := func() time.Duration { return f.now.Sub(f.ReceivedSince("db", pos(1, 0).Term)) }
	commit(20)
	f.status("a", true, 1, pos(1, 20))
	f.apply(Event{Kind: EventServed, Upstream: "a", Position: pos(1, 20)})
	f.apply(Event{Kind: EventServed, Upstream: "b", Position: pos(1, 19)})
	if f.ReceivedSince("db", pos(1, 0).Term) != 0 {
		t.Error("the primary or a replica without the commit counts")
	}
	f.advance(100 * ms)
	for n := range uint64(1000) {
		commit(30 + n)
		f.advance(ms)
	}
	if n := len(f.groups["db"].sentCommits); n > maxSentCommits {
		t.Errorf("%d commits are kept", n)
	}
	f.apply(Event{Kind: EventServed, Upstream: "b", Position: pos(1, 30+900)})
	if got := received(); got < 100*ms || got > 100*ms+sentCommitInterval {
		t.Errorf("received since %v, want the commit of 100 ms ago", got)
	}
	f.advance(time.Second)
	f.status("c", false, 1, pos(1, 30+900))
	if got := received(); got < 1100*ms {
		t.Errorf("received since %v although nothing was received in the last second", got)
	}
	if f.ReceivedSince("db", pos(2, 0).Term) != 0 {
		t.Error("a commit of another term counts")
	}
}
