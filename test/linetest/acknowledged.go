package linetest

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// acknowledgement is a write that a caller saw acknowledged.
type acknowledgement struct {
	id string
	// sentAt is when the request was sent whose answer, at at, acknowledged the write.
	sentAt, at time.Time
}

// ledger has the writes that the callers of a test saw acknowledged.
type ledger struct {
	mu   sync.Mutex
	list []acknowledgement
}

// ledgers has the ledger of each test with a Platform, by its *testing.T.
var ledgers sync.Map

// acknowledge keeps writes that a caller of t has just seen acknowledged by the answer to a
// request that was sent at sentAt.
func acknowledge(t *testing.T, ids []string, sentAt time.Time) {
	value, found := ledgers.Load(t)
	if !found {
		return
	}
	l := value.(*ledger)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.list = append(l.list, acknowledgement{id: id, sentAt: sentAt, at: now})
	}
}

// lost returns a message for each write that is missing in the log of the primary, or that is
// there only because it was executed again after it had been acknowledged.
func (l *ledger) lost(groups []*linegroup.Group) []string {
	// Copied before the logs are read, which then have these writes while callers go on.
	list := l.copy()
	written := map[string]time.Time{}
	for _, g := range groups {
		for _, c := range g.Log() {
			for _, id := range c.IDs {
				written[id] = c.WrittenAt
			}
		}
	}
	var messages []string
	for _, a := range list {
		if at, found := written[a.id]; !found || at.After(a.at) {
			messages = append(messages, fmt.Sprintf("write %s, acknowledged to its caller, is lost%s", a.id, discardedBy(groups, a)))
		}
	}
	return messages
}

// discardedBy describes the promotion that discarded a write, or returns "".
func discardedBy(groups []*linegroup.Group, a acknowledgement) string {
	for _, g := range groups {
		for _, p := range g.Promotions() {
			for _, c := range p.Discarded {
				if slices.Contains(c.IDs, a.id) {
					return fmt.Sprintf(": commit %d of term %d, written %v after the call for %s, %v before it led term %d with the log up to %d, and acknowledged to the caller %v before",
						c.Number, c.Term, c.WrittenAt.Sub(p.CalledAt), p.ID, p.At.Sub(c.WrittenAt), p.Term, p.Kept, p.At.Sub(a.at))
				}
			}
		}
	}
	return ""
}

// copy returns a copy of the list.
func (l *ledger) copy() []acknowledgement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}

// unfitPromotions returns a message for each promotion of an upstream without commits that callers
// had seen acknowledged before it led.
func (l *ledger) unfitPromotions(groups []*linegroup.Group) []string {
	at := map[string]time.Time{}
	for _, a := range l.copy() {
		at[a.id] = a.at
	}
	var messages []string
	for _, g := range groups {
		for _, p := range g.Promotions() {
			var missing []linegroup.Commit
			for _, c := range p.Discarded {
				told := func(id string) bool { t, found := at[id]; return found && t.Before(p.At) }
				if slices.ContainsFunc(c.IDs, told) {
					missing = append(missing, c)
				}
			}
			if len(missing) == 0 {
				continue
			}
			state := "lacks"
			if p.Kept == 0 {
				state = "is empty and lacks"
			}
			messages = append(messages, fmt.Sprintf("promotion of %s to term %d: it %s %d commits that callers had seen acknowledged, %d to %d; it has %d, and longer logs are at %v",
				p.ID, p.Term, state, len(missing), missing[0].Number, missing[len(missing)-1].Number, p.Kept, p.Ahead))
		}
	}
	return messages
}

// longestPause returns the longest time from start until now in which no caller saw a write
// acknowledged that is, or was, in the log of a group, and when it began.
func (l *ledger) longestPause(g *linegroup.Group, start time.Time) (pause time.Duration, from time.Time) {
	ids := map[string]bool{}
	commits := g.Log()
	for _, p := range g.Promotions() {
		commits = append(commits, p.Discarded...)
	}
	for _, c := range commits {
		for _, id := range c.IDs {
			ids[id] = true
		}
	}
	last := start
	check := func(at time.Time) {
		if at.Sub(last) > pause {
			pause, from = at.Sub(last), last
		}
		last = at
	}
	for _, a := range l.copy() {
		if ids[a.id] && a.at.After(last) {
			check(a.at)
		}
	}
	check(time.Now())
	return pause, from
}
