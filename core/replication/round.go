package replication

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// roundRingSize is the number of rounds that late answers can still confirm. At
// one round per unconfirmedInterval, answers may take up to 320 ms.
const roundRingSize = 16

// Limits of the history that lagging replicas are compared with. It has the
// last maxRecentRounds confirmed rounds, and up to maxOlderRounds before them
// that are at least historySpacing apart, which reach back about 6 s.
const (
	maxRecentRounds = 32
	maxOlderRounds  = 128
	historySpacing  = 50 * time.Millisecond
)

// confirmedRound is a round which proved that position includes every write
// acknowledged before start.
type confirmedRound struct {
	number   uint64
	start    model.Time
	primary  model.UpstreamID
	position model.Position
}

// tally collects the answers of one round.
type tally struct {
	number    uint64
	start     model.Time
	answers   []answer
	pending   int
	confirmed bool
}

// answer has the result of polling one upstream in a round.
type answer struct {
	// received is true if a status was received, done if the poll has ended
	// either way.
	received bool
	done     bool
	promised model.Term
	// primary is true if the upstream is the primary of its promised term.
	primary  bool
	position model.Position
}

// answer records a member's status. Only the first answer counts.
func (t *tally) answer(i int, st *dbgroup.Status) {
	a := &t.answers[i]
	if a.received {
		return
	}
	t.finish(a)
	a.received = true
	a.promised = st.Promised
	a.primary = st.Role == dbgroup.Primary && st.LastTerm == st.Promised
	a.position = model.Position{Term: st.LastTerm, Pos: st.Received}
}

func (t *tally) fail(i int) { t.finish(&t.answers[i]) }

func (t *tally) finish(a *answer) {
	if !a.done {
		a.done = true
		t.pending--
	}
}

// confirmedPrimary returns the index of the member that is the primary of a
// term above which a majority, the primary included, has accepted no fence. It
// returns -1 if there is none.
func (t *tally) confirmedPrimary(majority int) int {
	for i := range t.answers {
		if t.answers[i].primary && t.countPromisedUpTo(t.answers[i].promised) >= majority {
			return i
		}
	}
	return -1
}

func (t *tally) countPromisedUpTo(term model.Term) int {
	n := 0
	for i := range t.answers {
		if t.answers[i].received && t.answers[i].promised.Compare(term) <= 0 {
			n++
		}
	}
	return n
}

// rounds is a ring buffer of the last rounds of a group.
type rounds struct {
	ring   [roundRingSize]tally
	newest int
}

func (r *rounds) reset(members int) {
	for i := range r.ring {
		r.ring[i] = tally{answers: make([]answer, members)}
	}
}

// begin starts a round in place of the oldest one.
func (r *rounds) begin(number uint64, now model.Time) {
	r.newest = (r.newest + 1) % roundRingSize
	t := &r.ring[r.newest]
	clear(t.answers)
	t.number = number
	t.start = now
	t.pending = len(t.answers)
	t.confirmed = false
}

func (r *rounds) current() *tally { return &r.ring[r.newest] }

func (r *rounds) find(number uint64) *tally {
	if number == 0 {
		return nil
	}
	for i := range r.ring {
		if r.ring[i].number == number {
			return &r.ring[i]
		}
	}
	return nil
}

// history has past confirmed rounds, oldest first.
type history struct {
	older  []confirmedRound
	recent []confirmedRound
}

func (h *history) add(r confirmedRound) {
	if len(h.recent) == maxRecentRounds {
		h.addOlder(h.recent[0])
		h.recent = shift(h.recent)
	}
	h.recent = append(h.recent, r)
}

func (h *history) addOlder(r confirmedRound) {
	if n := len(h.older); n > 0 && r.start.Sub(h.older[n-1].start) < historySpacing {
		return
	}
	if len(h.older) == maxOlderRounds {
		h.older = shift(h.older)
	}
	h.older = append(h.older, r)
}

// shift removes the first element and keeps the backing array.
func shift(s []confirmedRound) []confirmedRound {
	copy(s, s[1:])
	return s[:len(s)-1]
}

// latestAtOrBelow returns the latest round whose position is not above applied,
// or nil.
func (h *history) latestAtOrBelow(applied model.Position) *confirmedRound {
	for i := len(h.recent) - 1; i >= 0; i-- {
		if h.recent[i].position.Compare(applied) <= 0 {
			return &h.recent[i]
		}
	}
	for i := len(h.older) - 1; i >= 0; i-- {
		if h.older[i].position.Compare(applied) <= 0 {
			return &h.older[i]
		}
	}
	return nil
}
