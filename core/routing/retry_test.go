package routing

import (
	"testing"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// crowd is a number of writes that wait on one group.
type crowd struct {
	s     *State
	sends int
	// open has the attempts that were not answered yet.
	open []Effect
}

func (c *crowd) take(out []Effect) {
	for _, e := range out {
		if e.Kind == Send {
			c.sends++
			c.open = append(c.open, e)
		}
	}
}

// refuse answers all open attempts with a refusal.
func (c *crowd) refuse(now model.Time, code sqlstate.Code) {
	open := c.open
	c.open = nil
	for _, e := range open {
		c.take(apply(c.s, now, Event{
			Kind: AttemptEnded, ID: e.ID, Attempt: e.Attempt, Upstream: e.Upstream, Outcome: Refused, Code: code,
		}))
	}
}

// newCrowd sends n writes to the known primary "a".
func newCrowd(n int) *crowd {
	c := &crowd{s: newState()}
	apply(c.s, 0, Event{Kind: PrimaryKnown, Primary: "a", PrimaryTerm: model.Term{Counter: 1}})
	for id := range n {
		c.take(apply(c.s, 0, write(uint64(id+1))))
	}
	return c
}

// TestCrowdWaitsForNewPrimary guards against writes that use the retry budget
// up while the primary is lost: then none finds the new one, and all of them
// wait until their deadline.
func TestCrowdWaitsForNewPrimary(t *testing.T) {
	const writes = 300
	c := newCrowd(writes)
	for now := 10 * ms; now < 600*ms; now += 10 * ms {
		c.refuse(now, sqlstate.UpstreamUnavail)
		c.take(apply(c.s, now, Event{Kind: Tick}))
	}
	if asked := c.sends - writes; asked > writes/5+100 {
		t.Errorf("%d writes were sent again while there was no primary", asked)
	}
	c.refuse(600*ms, sqlstate.UpstreamUnavail)
	c.open = nil
	c.take(apply(c.s, 601*ms, Event{Kind: PrimaryKnown, Primary: "b", PrimaryTerm: model.Term{Counter: 2}}))
	if len(c.open) < writes-3 {
		t.Errorf("%d of %d waiting writes are sent to the new primary", len(c.open), writes)
	}
}

// TestRefusedWritesUseTheBudget guards against a retry storm on a primary that
// is known and refuses.
func TestRefusedWritesUseTheBudget(t *testing.T) {
	const writes = 50
	c := newCrowd(writes)
	for now := 10 * ms; now < 800*ms; now += 10 * ms {
		c.refuse(now, sqlstate.ZoneDrained)
		c.take(apply(c.s, now, Event{Kind: Tick}))
	}
	if again := c.sends - writes; again > writes/5+100 {
		t.Errorf("%d retries of %d writes", again, writes)
	}
}
