package replication

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Intervals between the starts of two rounds of a group.
const (
	// minRoundInterval limits the rate of consecutive rounds on networks with
	// shorter round trips.
	minRoundInterval = 500 * time.Microsecond
	// catchUpInterval applies while pending checks and writes wait for an
	// upstream to catch up and need no newer round, and while rounds fail.
	catchUpInterval = 3 * time.Millisecond
	// unconfirmedInterval is how long an unconfirmed round with outstanding
	// answers delays the next one. Late answers can still confirm it.
	unconfirmedInterval = 20 * time.Millisecond
	// refreshInterval applies while nothing waits and refreshNeeded is set.
	refreshInterval = 20 * time.Millisecond
	// idleInterval applies while nothing waits and refreshNeeded is not set. At
	// the target size a VM holds about 31 groups; polling each more often would
	// use up the 20 KB/s that control traffic may take.
	idleInterval = 5 * time.Second
)

// pollIfDue starts a round if one is due.
func (g *group) pollIfDue(s *State, now model.Time, out []Effect) []Effect {
	if now < g.nextPoll() {
		return out
	}
	s.lastRound++
	g.rounds.begin(s.lastRound, now)
	g.refreshNeeded = false
	return append(out, Effect{Kind: PollRound, Database: g.database, Round: s.lastRound})
}

// nextPoll returns when the next round is due.
func (g *group) nextPoll() model.Time {
	t := g.rounds.current()
	if len(g.members) == 0 {
		return never
	}
	if t.number == 0 {
		return 0
	}
	return t.start.Add(g.roundInterval(t))
}

// roundInterval returns the time from the start of the current round to the
// start of the next.
func (g *group) roundInterval(t *tally) time.Duration {
	switch {
	case len(g.checks) == 0 && len(g.writes) == 0:
		if g.refreshNeeded {
			return refreshInterval
		}
		return idleInterval
	case !t.confirmed && t.pending > 0:
		return unconfirmedInterval
	case t.confirmed && g.newRoundNeeded(t.number):
		return minRoundInterval
	}
	return catchUpInterval
}

// newRoundNeeded reports whether a pending check or write arrived after the
// round started. The latest arrivals are at the end of the lists.
func (g *group) newRoundNeeded(number uint64) bool {
	if n := len(g.checks); n > 0 && g.checks[n-1].arrivalRound >= number {
		return true
	}
	n := len(g.writes)
	return n > 0 && g.writes[n-1].arrivalRound >= number
}
