// Package balance chooses the upstream of a read from figures of load that are old,
// and that many VMs use at the same moment. It keeps what the answers of holders say
// of each upstream, projects these figures to the present, and shares reads out by
// probabilities instead of sending all of them to the least loaded upstream. It is a
// pure state machine: the time and random numbers are passed in.
package balance

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// maxFigureAge is how long figures are used. Within a few seconds every workspace
	// sends a statement to each upstream that it may use, which brings newer ones.
	maxFigureAge = 2 * time.Second
	// speedMemory is the age at which the figure of an upstream's speed counts half, and
	// the mean of its group the other half; so does the share of failures. A VM that avoids a slow upstream tries it again
	// after about this time, which is as long as a caller notices a slow system.
	speedMemory = time.Second
	// rampTime is how long the share of an upstream grows that is new or has returned:
	// long enough for its answers to reach the VMs that choose it.
	rampTime = 200 * time.Millisecond
	// minRamp is the fraction of its share with which an upstream begins.
	minRamp = 0.25
	// probeShare is the smallest probability of an upstream among those of its rank, so
	// that its own answers show when it is fast again.
	probeShare = 0.02
	// failureWeight is the weight of one answer in the moving average of failures.
	failureWeight = 0.2
	// maxFailures bounds that average, so that a failing upstream keeps a share.
	maxFailures = 0.75
	// pathWeight is the weight of one answer in the moving average of the time between
	// this VM and a holder.
	pathWeight = 0.2
	// rateTime is the time constant of the moving average of the arrival rate. It is
	// shorter than the rise of a wave of callers and spans many statements.
	rateTime = 500 * time.Millisecond
	// minRateInterval is the shortest time over which a rate is measured.
	minRateInterval = 20 * time.Millisecond
	// maxUtilization bounds the utilization in the formula of the mean queue, which is
	// infinite at 1.
	maxUtilization = 0.95
	// defaultServiceTime is assumed while no upstream of the group has a figure.
	defaultServiceTime = 20 * time.Millisecond
)

// Limits of plausible figures.
const (
	// maxInFlight is more than the connections that one upstream accepts.
	maxInFlight = 100_000
	// maxServiceTime is above the time limit of any statement.
	maxServiceTime = time.Minute
	// maxArrivalRate, per second, is above what one VM can forward.
	maxArrivalRate = 1e6
)

// Figures are what a holder reports of an upstream with an answer.
type Figures struct {
	// Source is the VM that reports.
	Source model.VMID
	// At is the latest time by which the figures were certainly made, on the clock of
	// the VM that receives them.
	At model.Time
	// InFlight is the number of statements that run on the upstream or wait for it.
	InFlight int
	// Arrivals is the number of statements that Source has received for the upstream
	// since it first used it, from all VMs together.
	Arrivals uint64
	// ServiceTime is how long a statement takes on the upstream without waiting, 0 if
	// Source does not know it.
	ServiceTime time.Duration
}

// Dropped says why figures were not used.
type Dropped uint8

// Causes for which figures are dropped.
const (
	// Accepted figures are used.
	Accepted Dropped = iota
	// Malformed figures have a value that no upstream can have.
	Malformed
	// FromFuture figures claim to be made later than now.
	FromFuture
	// Outdated figures are older than maxFigureAge or than those already known.
	Outdated
)

// String returns the name of a cause, as metrics use it.
func (d Dropped) String() string {
	return [...]string{"accepted", "malformed", "future", "outdated"}[d]
}

// upstream is what is known of one upstream. Times are in seconds, rates per second.
type upstream struct {
	hash uint64
	// figures are the newest ones; At is 0 if there are none.
	figures Figures
	service float64
	rate    float64
	// slots is the number of statements that the upstream runs at once, 1 before the
	// first choice.
	slots float64
	// steady is the mean number in flight at this rate, without knowledge of the
	// present state.
	steady float64
	// rateArrivals and rateAt are the count and time at which rate was last measured.
	rateArrivals uint64
	rateAt       model.Time
	// path is the moving average of the time of an answer that the holder did not
	// spend, 0 if unknown.
	path float64
	// failures is the moving average of failed statements at outcomeAt, 0 to maxFailures.
	failures  float64
	outcomeAt model.Time
	// sent counts the unanswered statements of this VM, sentSince those that were sent
	// after the last figures.
	sent, sentSince int
	// forgotten is set by Forget.
	forgotten bool
	// seenAt is the time of the last choice in which the upstream took part, rampAt
	// that at which its share began to grow, 0 if it does not grow.
	seenAt, rampAt model.Time
}

// group is what is kept of the choices of one group.
type group struct {
	// chosenAt is the time of the last choice, 0 before the first.
	chosenAt model.Time
	// recent are the candidates of the last choice in the order in which they were
	// passed. They are mostly the same ones the next time.
	recent []recentCandidate
}

type recentCandidate struct {
	id       model.UpstreamID
	upstream *upstream
}

// State is what one VM knows of the load of upstreams. Use New to create one. It is not
// safe for concurrent use.
type State struct {
	upstreams map[model.UpstreamID]*upstream
	groups    map[string]*group
	// items is the buffer of Choose.
	items []item
}

// New returns a State without figures.
func New() *State {
	return &State{upstreams: map[model.UpstreamID]*upstream{}, groups: map[string]*group{}}
}

func (s *State) upstream(id model.UpstreamID) *upstream {
	u := s.upstreams[id]
	if u == nil {
		u = newUpstream(id)
		s.upstreams[id] = u
	}
	return u
}

func newUpstream(id model.UpstreamID) *upstream {
	return &upstream{hash: hash(string(id)), slots: 1}
}

// Sent records that this VM sends a statement to an upstream.
func (s *State) Sent(id model.UpstreamID) {
	u := s.upstream(id)
	u.sent++
	u.sentSince++
}

// Answer is the end of a statement that was recorded with Sent.
type Answer struct {
	// Latency is the time from sending to the end, Spent the part that the holder
	// reports as its own; 0 if there was no answer.
	Latency, Spent time.Duration
	// Failed is true if the upstream or the way to it failed the statement; a refusal
	// because it is busy is no failure.
	Failed bool
}

// Answered records the end of a statement that was sent to an upstream.
func (s *State) Answered(now model.Time, id model.UpstreamID, a *Answer) {
	u := s.upstream(id)
	u.sent = max(u.sent-1, 0)
	u.sentSince = min(u.sentSince, u.sent)
	s.Outcome(now, id, a.Failed)
	if a.Spent <= 0 || a.Spent > a.Latency {
		return
	}
	path := (a.Latency - a.Spent).Seconds()
	if u.path == 0 {
		u.path = path
	}
	u.path += pathWeight * (path - u.path)
}

// Outcome records whether a statement failed on an upstream.
func (s *State) Outcome(now model.Time, id model.UpstreamID, failed bool) {
	u, target := s.upstream(id), 0.0
	if failed {
		target = 1
	}
	before := u.failureShare(now)
	u.failures, u.outcomeAt = min(before+failureWeight*(target-before), maxFailures), now
}

// failureShare returns the share of statements that are expected to fail. It fades like
// the figure of the speed.
func (u *upstream) failureShare(now model.Time) float64 {
	return u.failures / (1 + now.Sub(u.outcomeAt).Seconds()/speedMemory.Seconds())
}

// Report records figures of an upstream and returns why it drops them if it does.
func (s *State) Report(now model.Time, id model.UpstreamID, f *Figures) Dropped {
	u := s.upstream(id)
	switch {
	case f.InFlight < 0 || f.InFlight > maxInFlight || f.ServiceTime < 0 || f.ServiceTime > maxServiceTime:
		return Malformed
	case f.At > now:
		return FromFuture
	case now.Sub(f.At) > maxFigureAge || f.At < u.figures.At:
		return Outdated
	}
	if !u.measureRate(f) {
		return Malformed
	}
	u.figures = *f
	u.sentSince = 0
	if f.ServiceTime > 0 {
		u.service = f.ServiceTime.Seconds()
	}
	u.steady = steadyInFlight(u.rate, u.service, u.slots)
	return Accepted
}

// measureRate updates the arrival rate. It returns false if the count of arrivals is
// not plausible.
func (u *upstream) measureRate(f *Figures) bool {
	interval := f.At.Sub(u.rateAt)
	if f.Source != u.figures.Source || f.Arrivals < u.rateArrivals || interval > maxFigureAge {
		// Another holder, or one that started again, counts from another number.
		u.rateArrivals, u.rateAt = f.Arrivals, f.At
		return true
	}
	if interval < minRateInterval {
		return true
	}
	rate := float64(f.Arrivals-u.rateArrivals) / interval.Seconds()
	if rate > maxArrivalRate {
		return false
	}
	u.rate += (rate - u.rate) * float64(interval) / float64(interval+rateTime)
	u.rateArrivals, u.rateAt = f.Arrivals, f.At
	return true
}

// steadyInFlight returns the mean number of statements that run or wait on an upstream
// with Poisson arrivals, by Sakasegawa's approximation of the queue with several
// servers.
func steadyInFlight(rate, service, slots float64) float64 {
	load := rate * service
	u := min(load/slots, maxUtilization)
	return load + math.Pow(u, math.Sqrt(2*(slots+1)))/(1-u)
}

// inFlight projects the number of statements in flight to now.
func (u *upstream) inFlight(now model.Time) float64 {
	if u.figures.At == 0 || u.service == 0 {
		return float64(u.sent)
	}
	age, n := now.Sub(u.figures.At).Seconds(), float64(u.figures.InFlight)
	if n > u.slots {
		// A queue changes by what arrives beyond what all slots together serve.
		slope := u.rate - u.slots/u.service
		end := n + slope*age
		if end >= u.slots {
			return max(min(end, n+u.slots), float64(u.sentSince))
		}
		age -= (u.slots - n) / slope
		n = u.slots
	}
	// What has not ended yet of the statements at the report, close to exp(-x).
	x := age / u.service
	n = u.steady + (n-u.steady)/(1+x+x*x/2)
	return max(n, float64(u.sentSince))
}

// Forget removes what is known of an upstream that no longer exists.
func (s *State) Forget(id model.UpstreamID) {
	if u := s.upstreams[id]; u != nil {
		u.forgotten = true
		delete(s.upstreams, id)
	}
}
