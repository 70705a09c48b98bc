package balance

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Read is a read that needs an upstream.
type Read struct {
	// Group names the upstreams among which the read may choose.
	Group string
	// Workspace is the owner of the connections that the read can use.
	Workspace string
	// Objective is the latency within which the caller wants the answer, 0 if there is
	// none. If the replicas are expected to use much of it for waiting, the primary may
	// serve the read.
	Objective time.Duration
}

// Candidate is an upstream that may serve a read.
type Candidate struct {
	Upstream model.UpstreamID
	// Index is the caller's own; it moves with the candidate.
	Index int
	// Rank orders candidates; load decides only among those of the lowest rank.
	Rank int
	// Slots is the number of statements that the upstream runs at once.
	Slots int
	// Distance is the network round trip, used while none is measured.
	Distance time.Duration
	// Primary marks the primary, which serves writes first.
	Primary bool
	// Away is true for an upstream that gets no reads while there is another one. When
	// it is no longer, its share grows from a small one.
	Away bool

	Prospect
}

// Prospect is what is expected of a candidate.
type Prospect struct {
	// Estimate is how long the read is expected to take.
	Estimate time.Duration
	// InFlight is the number of statements expected on the upstream.
	InFlight float64
	// FigureAge is the age of the figures behind Estimate, -1 if there are none.
	FigureAge time.Duration
	// Probability is that of the candidate to be the first that is tried.
	Probability float64
}

// Cause says why a candidate was chosen.
type Cause uint8

// Causes of choices.
const (
	// Only: no other candidate had the same rank.
	Only Cause = iota
	// Affinity: the workspace keeps to the upstream, which is about as fast as any other.
	Affinity
	// Estimate: by the probabilities that the loads give.
	Estimate
	// SlowStart: the workspace's upstream has just returned and its share is still small.
	SlowStart
	// Probe: an upstream that would get nothing by its load.
	Probe
	// Overflow: the primary, because the replicas are overloaded.
	Overflow
)

// Causes is the number of causes.
const Causes = int(Overflow) + 1

// String returns the name of a cause, as metrics and logs use it.
func (c Cause) String() string {
	return [Causes]string{"only", "affinity", "estimate", "slow_start", "probe", "overflow"}[c]
}

const (
	// connectionCost is what a read loses on average when it leaves its workspace's
	// upstream, in service times: a new connection takes a slot for about as long as a
	// statement, and about every second read finds an idle one elsewhere.
	connectionCost = 0.5
	// overflowWait is the part of Read.Objective that a read may be expected to wait for
	// replicas before the primary serves it: half of the time after which a read that
	// waits for a connection is refused, which leaves the other half for errors of the
	// estimate.
	overflowWait = 0.1
	// primaryShare is the part of its slots that the primary uses for reads that a
	// replica could serve; the others are for writes.
	primaryShare = 0.5
)

// item is the state of one candidate during a choice. Times are in seconds.
type item struct {
	upstream *upstream
	// base is how long the upstream takes without further reads, capacity how many
	// statements it completes per second.
	base, capacity float64
	inFlight, wait float64
	// ramp is the fraction of its share that the upstream gets, 1 after rampTime.
	ramp float64
	// share is the probability by load, floored by probeShare if probe is set.
	share float64
	probe bool
	age   time.Duration
}

// Choose orders the candidates in the order in which they are to be tried and returns
// the cause of the first. It sets the Prospect of each. seed is a random number.
func (s *State) Choose(now model.Time, r *Read, seed uint64, list []Candidate) Cause {
	return s.choose(now, r, seed, list, true)
}

// Explain orders the candidates and sets their Prospect as Choose would for the same
// seed, but changes nothing in the state. An upstream that has just returned begins its
// slow start only with the next Choose.
func (s *State) Explain(now model.Time, r *Read, seed uint64, list []Candidate) Cause {
	return s.choose(now, r, seed, list, false)
}

func (s *State) choose(now model.Time, r *Read, seed uint64, list []Candidate, record bool) Cause {
	if len(list) == 0 {
		return Only
	}
	s.items = s.items[:0]
	if record {
		g := s.group(r.Group)
		for i := range list {
			s.items = append(s.items, item{upstream: s.member(g, i, list[i].Upstream)})
		}
		s.markSeen(now, g, list)
	} else {
		for i := range list {
			u := s.upstreams[list[i].Upstream]
			if u == nil {
				u = newUpstream(list[i].Upstream)
			}
			s.items = append(s.items, item{upstream: u})
		}
	}
	service := s.meanServiceTime()
	for i := range list {
		s.items[i].project(now, &list[i], service)
		list[i].Prospect = s.items[i].prospect()
	}
	sortByRank(list, s.items)
	n := 1
	for n < len(list) && list[n].Rank == list[0].Rank {
		n++
	}
	overflow := n < len(list) && s.overflows(r, list, n)
	if overflow {
		// The candidates after the replicas are in order of rank, the primary first.
		s.items[n].capacity *= primaryShare
		n++
	}
	if n == 1 {
		list[0].Probability = 1
		return Only
	}
	s.fill(n)
	first, cause := s.pick(r, seed, connectionCost*service, list, n, overflow)
	moveToFront(list, first)
	return cause
}

func (s *State) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	return g
}

// member returns the candidate at index i of a choice, mostly without a search by name.
func (s *State) member(g *group, i int, id model.UpstreamID) *upstream {
	if i == len(g.recent) {
		g.recent = append(g.recent, recentCandidate{})
	}
	c := &g.recent[i]
	if c.upstream == nil || c.upstream.forgotten || c.id != id {
		*c = recentCandidate{id: id, upstream: s.upstream(id)}
	}
	return c.upstream
}

// markSeen starts the slow start of candidates that did not take part in the previous
// choice of the group.
func (s *State) markSeen(now model.Time, g *group, list []Candidate) {
	last := g.chosenAt
	for i := range list {
		if list[i].Away {
			continue
		}
		u := s.items[i].upstream
		if last != 0 && u.seenAt < last {
			u.rampAt = now
		}
		u.seenAt, u.slots = now, float64(max(list[i].Slots, 1))
	}
	g.chosenAt = now
}

// meanServiceTime returns the service time at the mean speed of the candidates whose
// speed is known.
func (s *State) meanServiceTime() float64 {
	speed, known := 0.0, 0.0
	for i := range s.items {
		if u := s.items[i].upstream; u.service > 0 {
			speed += 1 / u.service
			known++
		}
	}
	if known == 0 {
		return defaultServiceTime.Seconds()
	}
	return known / speed
}

// project computes what is expected of a candidate now. mean is the group's service
// time: an upstream without figures has it, and one whose figures age approaches it, so
// that a slow one is tried again.
func (it *item) project(now model.Time, c *Candidate, mean float64) {
	u := it.upstream
	it.ramp, it.age, it.inFlight = 1, -1, u.inFlight(now)
	service, slots := u.service, float64(max(c.Slots, 1))
	if service == 0 {
		service = mean
	}
	if u.figures.At != 0 {
		it.age = now.Sub(u.figures.At)
		service = mean + (service-mean)/(1+it.age.Seconds()/speedMemory.Seconds())
	}
	good := 1 - u.failureShare(now)
	it.capacity = slots / service * good
	it.wait = max(it.inFlight+1-slots, 0) / it.capacity
	path := u.path
	if path == 0 {
		path = c.Distance.Seconds()
	}
	it.base = path + service/good + it.inFlight/it.capacity
	if u.rampAt != 0 {
		if rising := now.Sub(u.rampAt); rising < rampTime {
			it.ramp = max(float64(rising)/float64(rampTime), minRamp)
		}
	}
}

func (it *item) prospect() Prospect {
	return Prospect{Estimate: seconds(it.base), InFlight: it.inFlight, FigureAge: it.age}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// overflows reports whether the candidate at index n, if it is the primary, is to share
// the reads of the n replicas before it.
func (s *State) overflows(r *Read, list []Candidate, n int) bool {
	if r.Objective <= 0 || !list[n].Primary || list[n].Away || list[0].Away {
		return false
	}
	wait, base := s.items[0].wait, s.items[0].base
	for i := 1; i < n; i++ {
		wait, base = min(wait, s.items[i].wait), min(base, s.items[i].base)
	}
	p := &s.items[n]
	return wait > overflowWait*r.Objective.Seconds() && p.base < base && p.inFlight+1 <= primaryShare*float64(max(list[n].Slots, 1))
}

// fill computes the share of each of the first n items: what arrives in the group until
// newer figures are known is divided so that all upstreams then take the same time,
// beginning with the fastest.
func (s *State) fill(n int) {
	items := s.items[:n]
	arrivals, age := 0.0, 0.0
	for i := range items {
		it := &items[i]
		arrivals += it.upstream.rate
		a := it.age
		if a < 0 || a > maxFigureAge {
			a = maxFigureAge
		}
		age += a.Seconds() / float64(n)
	}
	// At least the read itself is to be placed.
	arrivals = max(arrivals*age, 1)
	level := waterLevel(items, arrivals)
	sum := 0.0
	for i := range items {
		it := &items[i]
		it.share = max(level-it.base, 0) * it.capacity * it.ramp / arrivals
		sum += it.share
	}
	probes := 0.0
	for i := range items {
		it := &items[i]
		it.share /= sum
		if it.probe = it.share < probeShare; it.probe {
			it.share = probeShare
		}
		probes += it.share
	}
	for i := range items {
		items[i].share /= probes
	}
}

// waterLevel returns the time up to which the items are filled by the given number of
// arrivals. An item that takes longer than that gets none of them.
func waterLevel(items []item, arrivals float64) float64 {
	level := math.Inf(1)
	for {
		weighted, capacity, slowest := arrivals, 0.0, 0.0
		for i := range items {
			if it := &items[i]; it.base < level {
				c := it.capacity * it.ramp
				weighted += it.base * c
				capacity += c
				slowest = max(slowest, it.base)
			}
		}
		// Without the items above the former level, the level can only be lower.
		level = weighted / capacity
		if slowest <= level {
			return level
		}
	}
}

// pick returns the index of the candidate to try first, and sets the probabilities.
// connection is what leaving the workspace's upstream costs, in seconds.
func (s *State) pick(r *Read, seed uint64, connection float64, list []Candidate, n int, overflow bool) (int, Cause) {
	at := fraction(seed)
	if !overflow {
		return s.pickEqual(r.Workspace, at, connection, list[:n])
	}
	n--
	primary := s.items[n].share
	for i := range n {
		s.items[i].share /= 1 - primary
	}
	first, cause := s.pickEqual(r.Workspace, max(at-primary, 0)/(1-primary), connection, list[:n])
	for i := range n {
		list[i].Probability *= 1 - primary
	}
	list[n].Probability = primary
	if at < primary {
		return n, Overflow
	}
	return first, cause
}

// pickEqual is pick among candidates of the same rank; at is a random number in [0, 1).
// A workspace keeps to its upstream as long as no other is faster by more than connection.
func (s *State) pickEqual(workspace string, at, connection float64, list []Candidate) (int, Cause) {
	if len(list) == 1 {
		list[0].Probability = 1
		return 0, Only
	}
	home, next := s.homes(workspace, len(list))
	best := s.items[0].base
	for i := range list {
		best = min(best, s.items[i].base)
	}
	if it := &s.items[home]; it.base <= best+connection {
		list[home].Probability, list[next].Probability = it.ramp, 1-it.ramp
		if at < it.ramp {
			return home, Affinity
		}
		return next, SlowStart
	}
	chosen, sum := -1, 0.0
	for i := range list {
		list[i].Probability = s.items[i].share
		if sum += s.items[i].share; chosen < 0 && (at < sum || i == len(list)-1) {
			chosen = i
		}
	}
	if s.items[chosen].probe {
		return chosen, Probe
	}
	return chosen, Estimate
}

// homes returns the indexes of the two upstreams among the first n items that
// rendezvous hashing prefers for a workspace, the preferred one first.
func (s *State) homes(workspace string, n int) (first, second int) {
	w, best, next := hash(workspace), uint64(0), uint64(0)
	for i := range n {
		switch x := mix(w ^ s.items[i].upstream.hash); {
		case x >= best:
			second, next = first, best
			first, best = i, x
		case x >= next:
			second, next = i, x
		}
	}
	return first, second
}

// sortByRank orders candidates and their items by rank, then by estimate. The lists are
// short and nearly sorted.
func sortByRank(list []Candidate, items []item) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && before(&list[j], &list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
			items[j], items[j-1] = items[j-1], items[j]
		}
	}
}

func before(a, b *Candidate) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Estimate != b.Estimate {
		return a.Estimate < b.Estimate
	}
	return a.Upstream < b.Upstream
}

func moveToFront(list []Candidate, i int) {
	c := list[i]
	copy(list[1:i+1], list[:i])
	list[0] = c
}

// fraction maps a random number to [0, 1).
func fraction(seed uint64) float64 { return float64(mix(seed)>>11) / (1 << 53) }

// hash returns the FNV-1a hash of a name, well mixed in all bits.
func hash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
